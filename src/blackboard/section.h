// A section of the blackboard: a value replaced as a whole by one writer and read by any thread.
#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace magnolia
{

/** Readers hold an immutable snapshot; `write` replaces the value and never changes it in place. */
template <typename T>
class Section
{
public:
    [[nodiscard]] std::shared_ptr<const T> read() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_value;
    }
    void write(T value)
    {
        auto newValue = std::make_shared<const T>(std::move(value));
        const std::scoped_lock lock(m_mutex);
        m_value = std::move(newValue);
    }

private:
    mutable std::mutex m_mutex;
    // Invariant: never null.
    std::shared_ptr<const T> m_value = std::make_shared<const T>();
};

} // namespace magnolia
