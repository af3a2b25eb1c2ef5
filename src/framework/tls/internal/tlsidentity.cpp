// The certificate chain and private key of a listener.
#include "framework/tls/tlsidentity.h"

#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>

#include <cstdio>
#include <mutex>

namespace magnolia
{

namespace
{

template <typename T, void (*release)(T *)>
struct Deleter
{
    void operator()(T *object) const
    {
        release(object);
    }
};

void releaseChain(STACK_OF(X509) * chain)
{
    sk_X509_pop_free(chain, X509_free);
}

using Certificate = std::unique_ptr<X509, Deleter<X509, X509_free>>;
using Chain = std::unique_ptr<STACK_OF(X509), Deleter<STACK_OF(X509), releaseChain>>;
using Key = std::unique_ptr<EVP_PKEY, Deleter<EVP_PKEY, EVP_PKEY_free>>;

struct FileCloser
{
    void operator()(std::FILE *file) const
    {
        static_cast<void>(std::fclose(file));
    }
};
using File = std::unique_ptr<std::FILE, FileCloser>;

tl::unexpected<Error> loadError(const std::string &path, const char *problem)
{
    ERR_clear_error();
    return makeError(ResultCode::SettingsInvalid, path + ": " + problem);
}

} // namespace

struct TlsIdentity::Impl
{
    mutable std::mutex mutex;
    // Invariant: certificate and key are both null or match.
    Certificate certificate;
    Chain chain;
    Key key;
};

TlsIdentity::TlsIdentity()
    : m_impl(std::make_unique<Impl>())
{
}

TlsIdentity::~TlsIdentity() = default;

Result<void> TlsIdentity::load(const std::string &certificatePath, const std::string &keyPath)
{
    const File certificateFile(std::fopen(certificatePath.c_str(), "re"));
    const File keyFile(std::fopen(keyPath.c_str(), "re"));
    if (!certificateFile || !keyFile) {
        return loadError(certificateFile ? keyPath : certificatePath, "cannot be opened");
    }
    Certificate certificate(PEM_read_X509(certificateFile.get(), nullptr, nullptr, nullptr));
    if (!certificate) {
        return loadError(certificatePath, "contains no certificate in PEM format");
    }
    Chain chain(sk_X509_new_null());
    while (X509 *next = PEM_read_X509(certificateFile.get(), nullptr, nullptr, nullptr)) {
        sk_X509_push(chain.get(), next);
    }
    Key key(PEM_read_PrivateKey(keyFile.get(), nullptr, nullptr, nullptr));
    if (!key) {
        return loadError(keyPath, "contains no private key in PEM format");
    }
    if (X509_check_private_key(certificate.get(), key.get()) != 1) {
        return loadError(keyPath, "does not match the certificate");
    }
    ERR_clear_error();
    const std::scoped_lock lock(m_impl->mutex);
    m_impl->certificate = std::move(certificate);
    m_impl->chain = std::move(chain);
    m_impl->key = std::move(key);
    return {};
}

bool TlsIdentity::applyTo(SSL *connection) const
{
    const std::scoped_lock lock(m_impl->mutex);
    return m_impl->certificate
        && SSL_use_cert_and_key(connection, m_impl->certificate.get(), m_impl->key.get(), m_impl->chain.get(), 1) == 1;
}

} // namespace magnolia
