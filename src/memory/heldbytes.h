// Bytes of one holder in the account of its instance; they are removed when the holder ends.
#pragma once

#include "memory/memoryaccount.h"

#include "framework/global/types/bytes.h"
#include "framework/global/types/time.h"

namespace magnolia::memory
{

class HeldBytes
{
public:
    /** Without an account nothing is counted. The account must outlive this object. */
    HeldBytes(MemoryAccount *account, MemoryKind kind);
    ~HeldBytes();
    HeldBytes(const HeldBytes &) = delete;
    HeldBytes &operator=(const HeldBytes &) = delete;

    void set(Bytes size, MonoTime now);
    [[nodiscard]] Bytes size() const;

private:
    MemoryAccount *m_account;
    MemoryKind m_kind;
    Bytes m_size;
};

} // namespace magnolia::memory
