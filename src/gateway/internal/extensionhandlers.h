// Distributes the records of extension messages to the parts of the gateway that understand them.
#pragma once

#include "fleet/types/capability.h"
#include "fleet/types/extensionmessage.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace magnolia::gateway
{

class ExtensionHandlers
{
public:
    /** Adds the part that understands the records with `tag`; this instance then states `capability`. */
    void add(std::uint32_t tag, fleet::Capability capability,
        std::function<std::vector<fleet::ExtensionRecord>()> ownRecords,
        std::function<void(const std::string &instance, const fleet::ExtensionRecord &record)> onRecord);

    /** Returns the set of Capability bits of all parts. */
    [[nodiscard]] std::uint64_t capabilities() const;
    /** Returns the current records of all parts. */
    [[nodiscard]] std::vector<fleet::ExtensionRecord> ownRecords() const;
    /** Passes each record to its part; records with unknown tags are skipped. */
    void dispatch(const std::string &instance, const std::vector<fleet::ExtensionRecord> &records) const;

private:
    struct Handler
    {
        fleet::Capability capability;
        std::function<std::vector<fleet::ExtensionRecord>()> ownRecords;
        std::function<void(const std::string &instance, const fleet::ExtensionRecord &record)> onRecord;
    };

    std::map<std::uint32_t, Handler> m_handlers;
};

} // namespace magnolia::gateway
