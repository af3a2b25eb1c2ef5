// Set operations on traits.
#include "quarantine/types/requesttraits.h"

#include <algorithm>

namespace magnolia::quarantine
{

namespace
{

void normalise(std::vector<Fingerprint> &list)
{
    std::sort(list.begin(), list.end());
    list.erase(std::unique(list.begin(), list.end()), list.end());
}

} // namespace

void normalise(RequestTraits &traits)
{
    normalise(traits.suspects);
    normalise(traits.context);
}

bool containsAll(const std::vector<Fingerprint> &all, const std::vector<Fingerprint> &some)
{
    return std::includes(all.begin(), all.end(), some.begin(), some.end());
}

bool matches(const RequestTraits &required, const RequestTraits &request)
{
    return containsAll(request.suspects, required.suspects) && containsAll(request.context, required.context);
}

bool contains(const std::vector<Fingerprint> &all, Fingerprint one)
{
    return std::binary_search(all.begin(), all.end(), one);
}

} // namespace magnolia::quarantine
