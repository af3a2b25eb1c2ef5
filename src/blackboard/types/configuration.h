// The published configuration in force, validated and parsed.
#pragma once

#include "blackboard/types/organisation.h"
#include "blackboard/types/requestclass.h"

#include <map>
#include <set>

namespace magnolia
{

struct Configuration
{
    /** Zero until a configuration is known. */
    Revision revision;
    std::map<ClassId, RequestClass> classes;
    std::map<OrganisationId, Organisation> organisations;
    std::set<ModelId> models;
};

} // namespace magnolia
