// A listening TLS socket.
#include "framework/tls/tlslistener.h"

#include <openssl/ssl.h>
#include <Poco/Exception.h>
#include <Poco/Net/Context.h>
#include <Poco/Net/SecureServerSocket.h>

namespace magnolia
{

namespace
{

constexpr int listenBacklog = 1024;

int onCertificateNeeded(SSL *connection, void *identity)
{
    return static_cast<const TlsIdentity *>(identity)->applyTo(connection) ? 1 : 0;
}

} // namespace

Result<Poco::Net::ServerSocket> listenTls(const std::string &address, const TlsIdentity &identity)
{
    try {
        Poco::Net::Context::Params params;
        params.verificationMode = Poco::Net::Context::VERIFY_NONE;
        Poco::Net::Context::Ptr context = new Poco::Net::Context(Poco::Net::Context::TLS_SERVER_USE, params);
        context->requireMinimumProtocol(Poco::Net::Context::PROTO_TLSV1_2);
        // Called in each handshake, so that a renewed certificate needs no new listener.
        SSL_CTX_set_cert_cb(context->sslContext(), onCertificateNeeded, const_cast<TlsIdentity *>(&identity));
        Poco::Net::SecureServerSocket socket(context);
        socket.bind(Poco::Net::SocketAddress(address), true);
        socket.listen(listenBacklog);
        return socket;
    } catch (const Poco::Exception &ex) {
        return makeError(ResultCode::ListenFailed, address + ": " + ex.displayText());
    }
}

} // namespace magnolia
