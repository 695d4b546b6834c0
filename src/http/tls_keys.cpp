// Loads the certificate and key into a new OpenSSL context.
#include "http/tls_keys.hpp"

#include <openssl/err.h>

#include <utility>

namespace samphirespool::http {

namespace {

std::string last_openssl_error() {
    char text[256];
    ERR_error_string_n(ERR_get_error(), text, sizeof(text));
    return text;
}

} // namespace

bool tls_keys::load(kernel::error& reason) {
    std::unique_ptr<SSL_CTX, free_context> loaded_context(SSL_CTX_new(TLS_server_method()));
    SSL_CTX_set_min_proto_version(loaded_context.get(), TLS1_2_VERSION);
    auto* context = loaded_context.get();
    const bool loaded =
        SSL_CTX_use_certificate_chain_file(context, this->certificate_file.c_str()) == 1 &&
        SSL_CTX_use_PrivateKey_file(context, this->key_file.c_str(), SSL_FILETYPE_PEM) == 1 &&
        SSL_CTX_check_private_key(context) == 1;
    if (!loaded) {
        reason = {kernel::error_kind::invalid_settings,
                  this->certificate_file + ", " + this->key_file + ": " + last_openssl_error()};
        return false;
    }
    this->current = std::move(loaded_context);
    return true;
}

} // namespace samphirespool::http
