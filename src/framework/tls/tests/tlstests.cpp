// Tests of a TLS listener whose certificate is renewed while it is running.
#include "framework/httpserver/httpserver.h"
#include "framework/tls/tlslistener.h"

#include <catch2/catch.hpp>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <Poco/Net/Context.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPSClientSession.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetSSL.h>
#include <Poco/StreamCopier.h>
#include <Poco/TemporaryFile.h>

#include <cstdio>

using namespace magnolia;

namespace
{

/** A self-signed certificate and its key in two files. */
struct Identity
{
    Poco::TemporaryFile certificate;
    Poco::TemporaryFile key;
};

void writeIdentity(Identity &files, const char *commonName)
{
    EVP_PKEY *key = EVP_EC_gen("P-256");
    X509 *certificate = X509_new();
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -60);
    X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
    X509_set_pubkey(certificate, key);
    X509_NAME *name = X509_get_subject_name(certificate);
    X509_NAME_add_entry_by_txt(
        name, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char *>(commonName), -1, -1, 0);
    X509_set_issuer_name(certificate, name);
    X509_sign(certificate, key, EVP_sha256());
    std::FILE *file = std::fopen(files.certificate.path().c_str(), "w");
    PEM_write_X509(file, certificate);
    std::fclose(file);
    file = std::fopen(files.key.path().c_str(), "w");
    PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(file);
    X509_free(certificate);
    EVP_PKEY_free(key);
}

class PathHandler : public IHttpHandler
{
public:
    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        response.sendBuffer(request.getURI().data(), request.getURI().size());
    }
    void refuse(Poco::Net::HTTPServerResponse &response, const Error & /*error*/) override
    {
        response.sendBuffer("refused", 7);
    }
};

struct Answer
{
    std::string body;
    std::string commonName;
};

Answer sendRequest(Poco::Net::HTTPSClientSession &session)
{
    Poco::Net::HTTPRequest request("GET", "/x", Poco::Net::HTTPMessage::HTTP_1_1);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    Answer answer;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), answer.body);
    answer.commonName = session.serverCertificate().commonName();
    return answer;
}

Poco::Net::Context::Ptr clientContext()
{
    return new Poco::Net::Context(Poco::Net::Context::TLS_CLIENT_USE, "", Poco::Net::Context::VERIFY_NONE);
}

} // namespace

TEST_CASE("after a renewal open connections continue and new connections get the new certificate")
{
    Identity files;
    writeIdentity(files, "first");
    TlsIdentity identity;
    REQUIRE(identity.load(files.certificate.path(), files.key.path()));
    auto socket = listenTls("127.0.0.1:0", identity);
    REQUIRE(socket.has_value());
    PathHandler handler;
    const auto server = HttpServer::serve(*socket, handler, {});
    const Poco::UInt16 port = socket->address().port();

    Poco::Net::HTTPSClientSession openSession("127.0.0.1", port, clientContext());
    openSession.setKeepAlive(true);
    CHECK(sendRequest(openSession).commonName == "first");

    writeIdentity(files, "second");
    REQUIRE(identity.load(files.certificate.path(), files.key.path()));
    const Answer answerAfterRenewal = sendRequest(openSession);
    CHECK(answerAfterRenewal.body == "/x");
    CHECK(answerAfterRenewal.commonName == "first");
    Poco::Net::HTTPSClientSession newSession("127.0.0.1", port, clientContext());
    CHECK(sendRequest(newSession).commonName == "second");
}

TEST_CASE("a key that does not match the certificate is refused, and the previous certificate stays in use")
{
    Identity first;
    Identity second;
    writeIdentity(first, "first");
    writeIdentity(second, "second");
    TlsIdentity identity;
    REQUIRE(identity.load(first.certificate.path(), first.key.path()));
    const auto loaded = identity.load(first.certificate.path(), second.key.path());
    REQUIRE_FALSE(loaded.has_value());
    CHECK(loaded.error().code == ResultCode::SettingsInvalid);
    CHECK_FALSE(identity.load("/nowhere/certificate.pem", first.key.path()).has_value());
    auto socket = listenTls("127.0.0.1:0", identity);
    REQUIRE(socket.has_value());
    PathHandler handler;
    const auto server = HttpServer::serve(*socket, handler, {});
    Poco::Net::HTTPSClientSession session("127.0.0.1", socket->address().port(), clientContext());
    CHECK(sendRequest(session).commonName == "first");
}
