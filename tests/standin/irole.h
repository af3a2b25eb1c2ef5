// The component that a stand-in process simulates: an engine, a plain service or a service of the platform.
#pragma once

#include <nlohmann/json_fwd.hpp>

namespace magnolia::standin
{

class Exchange;

class IRole
{
public:
    virtual ~IRole() = default;

    /** Handles a request to any path outside `/control`. Called from several threads at the same time. */
    virtual void handle(Exchange &exchange) = 0;
    /** Publishes new content. Returns false if the role does not publish any. Throws if the content is malformed. */
    virtual bool publish(const nlohmann::json &content) = 0;
};

} // namespace magnolia::standin
