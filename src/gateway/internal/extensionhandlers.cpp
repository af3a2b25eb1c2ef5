// Implements the distribution of extension records.
#include "gateway/internal/extensionhandlers.h"

#include <iterator>
#include <utility>

namespace magnolia::gateway
{

void ExtensionHandlers::add(std::uint32_t tag, fleet::Capability capability,
    std::function<std::vector<fleet::ExtensionRecord>()> ownRecords,
    std::function<void(const std::string &instance, const fleet::ExtensionRecord &record)> onRecord)
{
    m_handlers.insert_or_assign(tag, Handler{capability, std::move(ownRecords), std::move(onRecord)});
}

std::uint64_t ExtensionHandlers::capabilities() const
{
    std::uint64_t bits = 0;
    for (const auto &[tag, handler] : m_handlers) {
        bits |= static_cast<std::uint64_t>(handler.capability);
    }
    return bits;
}

std::vector<fleet::ExtensionRecord> ExtensionHandlers::ownRecords() const
{
    std::vector<fleet::ExtensionRecord> records;
    for (const auto &[tag, handler] : m_handlers) {
        std::vector<fleet::ExtensionRecord> added = handler.ownRecords();
        records.insert(records.end(), std::make_move_iterator(added.begin()), std::make_move_iterator(added.end()));
    }
    return records;
}

void ExtensionHandlers::dispatch(const std::string &instance, const std::vector<fleet::ExtensionRecord> &records) const
{
    for (const fleet::ExtensionRecord &it : records) {
        if (const auto handler = m_handlers.find(it.tag); handler != m_handlers.end()) {
            handler->second.onRecord(instance, it);
        }
    }
}

} // namespace magnolia::gateway
