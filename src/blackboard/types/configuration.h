// The published configuration in force, checked and typed.
#pragma once

#include "blackboard/types/organisation.h"
#include "blackboard/types/requestclass.h"

#include <map>
#include <set>

namespace magnolia
{

struct Configuration
{
    /** Zero: none is known yet. */
    Revision revision;
    std::map<ClassId, RequestClass> classes;
    std::map<OrganisationId, Organisation> organisations;
    std::set<ModelId> models;
};

} // namespace magnolia
