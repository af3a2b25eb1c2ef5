// The files that a TLS listener reads.
#pragma once

#include <string>

namespace magnolia::settings
{

struct TlsFiles
{
    /** Path of the certificate chain in PEM format. */
    std::string certificate;
    /** Path of the private key in PEM format. */
    std::string key;

    friend bool operator==(const TlsFiles &, const TlsFiles &) = default;
};

} // namespace magnolia::settings
