// Remembers the names of the instances of a fleet for longer than they are heard.
//
// The halves of a partitioned fleet have to agree on the users of cold upstreams (coldbudget.h), so that an instance
// that has become silent without having announced its end stays known for an hour. It does no I/O.
#pragma once

#include "framework/global/types/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace magnolia::limits
{

struct InstanceMemoryParameters
{
    /** Time after which an instance that is not heard is forgotten. */
    Milliseconds forgetAfter{3'600'000};
    /** Time after the start, and after the last time that many instances became known, until the view is settled. */
    Milliseconds settleTime{3000};
    /** Instances that may become known within `settleTime` in a settled view. */
    std::size_t maxNewInstances = 2;
    std::size_t maxInstances = 1024;
};

class InstanceMemory
{
public:
    InstanceMemory(std::string self, MonoTime startedAt, InstanceMemoryParameters parameters = {});

    /** Records that an instance exists; `heardAt` is the time at which it was last heard. */
    void record(const std::string &instance, MonoTime heardAt, MonoTime now);
    /** Removes an instance that has announced its end. */
    void remove(const std::string &instance);
    /** Removes instances that were not heard for long. */
    void prune(MonoTime now);

    /** Returns the names of all known instances, including this one, in ascending order. */
    [[nodiscard]] const std::vector<std::string> &names() const;
    /** Returns whether the view lacks a few instances at most, as far as this can be told. */
    [[nodiscard]] bool isSettled(MonoTime now) const;
    /** Returns the instances, with the time at which they were last heard, that were not heard since `time`. */
    [[nodiscard]] std::vector<std::pair<std::string, MonoTime>> silentSince(MonoTime time) const;
    /** Returns a number that changes whenever the names do. */
    [[nodiscard]] std::uint64_t generation() const;

private:
    struct Record
    {
        MonoTime firstKnownAt{};
        MonoTime heardAt{};
    };

    void updateNames();

    std::string m_self;
    MonoTime m_startedAt;
    InstanceMemoryParameters m_parameters;
    std::map<std::string, Record> m_records;
    // Invariant: the keys of `m_records` and this instance, in ascending order.
    std::vector<std::string> m_names;
    std::uint64_t m_generation = 0;
};

} // namespace magnolia::limits
