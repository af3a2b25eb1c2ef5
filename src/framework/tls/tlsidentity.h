// The certificate chain and private key of a listener, which can be replaced while it is running.
#pragma once

#include "framework/global/error.h"

#include <memory>
#include <string>

// Forward declaration of OpenSSL's connection type.
using SSL = struct ssl_st;

namespace magnolia
{

class TlsIdentity
{
public:
    TlsIdentity();
    ~TlsIdentity();
    TlsIdentity(const TlsIdentity &) = delete;
    TlsIdentity &operator=(const TlsIdentity &) = delete;

    /**
     * Reads both PEM files and uses them for all later handshakes; open connections continue. If the files cannot be
     * read or do not match, the previous certificate and key stay in use. Errors: SettingsInvalid.
     */
    [[nodiscard]] Result<void> load(const std::string &certificatePath, const std::string &keyPath);

    /** Sets the current certificate and key on a connection at its handshake; returns false if there are none. */
    [[nodiscard]] bool applyTo(SSL *connection) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace magnolia
