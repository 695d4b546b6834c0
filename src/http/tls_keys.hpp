// Certificate and private key of a listener, which can be reloaded at run time.
#pragma once

#include "kernel/error.hpp"

#include <openssl/ssl.h>

#include <memory>
#include <string>

namespace samphirespool::http {

class tls_keys {
public:
    tls_keys(std::string certificate_file, std::string key_file)
        : certificate_file(std::move(certificate_file)), key_file(std::move(key_file)) {}

    // Reads both files. On failure, returns false, sets `reason` and keeps the current keys.
    bool load(kernel::error& reason);

    // OpenSSL context for new connections; null before the first successful load().
    SSL_CTX* context() const { return this->current.get(); }

private:
    struct free_context {
        void operator()(SSL_CTX* context) const { SSL_CTX_free(context); }
    };

    std::string certificate_file;
    std::string key_file;
    // Open connections hold their own references.
    std::unique_ptr<SSL_CTX, free_context> current;
};

} // namespace samphirespool::http
