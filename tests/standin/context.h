// State shared by all requests of a stand-in process.
#pragma once

#include "standin/connectionregistry.h"
#include "standin/faults.h"
#include "standin/journal.h"

#include <string>

namespace magnolia::standin
{

struct Context
{
    std::string id;
    Faults faults;
    Journal journal;
    ConnectionRegistry connections;
};

} // namespace magnolia::standin
