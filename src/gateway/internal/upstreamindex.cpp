// The upstreams by service.
#include "gateway/internal/upstreamindex.h"

#include "framework/global/hashing.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace magnolia::gateway
{

placement::UpstreamKey UpstreamView::keyOf(const UpstreamId &id)
{
    return stableHash(id.value());
}

void UpstreamView::rebuild(
    const std::map<std::string, published::PublishedState::UpstreamRecord> &held, const DataCentreId &here)
{
    m_byService.clear();
    m_byKey.clear();
    for (const auto &[name, it] : held) {
        const UpstreamRef ref{keyOf(it.entry.id), it.entry, Milliseconds(it.entry.dataCentre == here ? 0 : 1)};
        m_byService[it.entry.service].push_back(ref);
        m_byKey[ref.key] = ref;
    }
    for (auto &[service, list] : m_byService) {
        std::sort(list.begin(), list.end(), [](const UpstreamRef &a, const UpstreamRef &b) {
            return a.key < b.key;
        });
    }
}

const std::vector<UpstreamRef> &UpstreamView::ofService(const std::string &service) const
{
    static const std::vector<UpstreamRef> none;
    const auto it = m_byService.find(service);
    return it == m_byService.end() ? none : it->second;
}

const UpstreamRef *UpstreamView::find(placement::UpstreamKey key) const
{
    const auto it = m_byKey.find(key);
    return it == m_byKey.end() ? nullptr : &it->second;
}

std::string UpstreamView::nameOf(placement::UpstreamKey key) const
{
    if (const UpstreamRef *ref = find(key)) {
        return ref->entry.id.value();
    }
    std::array<char, 20> buf{};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), key, 16);
    return {buf.data(), end};
}

std::size_t UpstreamView::size() const
{
    return m_byKey.size();
}

} // namespace magnolia::gateway
