// A listening TLS socket.
#pragma once

#include "framework/global/error.h"
#include "framework/tls/tlsidentity.h"

#include <Poco/Net/ServerSocket.h>

#include <string>

namespace magnolia
{

/** Binds and listens. Each handshake uses `identity`, which must outlive the socket. Errors: ListenFailed. */
[[nodiscard]] Result<Poco::Net::ServerSocket> listenTls(const std::string &address, const TlsIdentity &identity);

} // namespace magnolia
