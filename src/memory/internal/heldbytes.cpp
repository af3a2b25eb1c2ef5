// Implements the bytes of one holder.
#include "memory/heldbytes.h"

namespace magnolia::memory
{

HeldBytes::HeldBytes(MemoryAccount *account, MemoryKind kind)
    : m_account(account)
    , m_kind(kind)
{
}

HeldBytes::~HeldBytes()
{
    set(Bytes{0}, MonoTime{});
}

void HeldBytes::set(Bytes size, MonoTime now)
{
    if (m_account == nullptr || size == m_size) {
        return;
    }
    if (size > m_size) {
        m_account->add(m_kind, size - m_size);
    } else {
        m_account->remove(m_kind, m_size - size, now);
    }
    m_size = size;
}

Bytes HeldBytes::size() const
{
    return m_size;
}

} // namespace magnolia::memory
