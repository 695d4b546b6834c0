// Builds the index and looks up organisations and services.
#include "router/configuration_index.hpp"

#include <openssl/evp.h>

#include <algorithm>

namespace samphirespool::router {

namespace {

// Whether the prefix is the path or one of its parents.
bool covers(std::string_view prefix, std::string_view path) {
    if (!path.starts_with(prefix))
        return false;
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

} // namespace

std::string sha256_hex(std::string_view text) {
    constexpr std::string_view digits = "0123456789abcdef";
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned size = 0;
    EVP_Digest(text.data(), text.size(), digest, &size, EVP_sha256(), nullptr);
    std::string hex;
    hex.reserve(std::size_t{2} * size);
    for (unsigned i = 0; i < size; ++i) {
        hex += digits[digest[i] >> 4U];
        hex += digits[digest[i] & 15U];
    }
    return hex;
}

bool is_non_idempotent(const config::service_definition& service, std::string_view method,
                       std::string_view path) {
    return std::any_of(
        service.non_idempotent.begin(), service.non_idempotent.end(), [&](std::string_view entry) {
            const auto space = entry.find(' ');
            return space != std::string_view::npos && entry.substr(0, space) == method &&
                   covers(entry.substr(space + 1), path);
        });
}

configuration_index::configuration_index(
    std::shared_ptr<const config::fleet_configuration> configuration)
    : source(std::move(configuration)) {
    for (const auto& [name, service] : this->source->services) {
        const auto index = this->all_services.size();
        this->all_services.push_back({helpers::id_of<helpers::service_id>(name), &service});
        for (const auto& prefix : service.path_prefixes)
            this->routes.push_back({prefix, index});
        for (const auto& model : service.models)
            this->models.emplace(model, index);
    }
    std::sort(this->routes.begin(), this->routes.end(),
              [](const route& a, const route& b) { return a.prefix.size() > b.prefix.size(); });
    this->organisations.reserve(this->source->organisations.size());
    for (const auto& [name, organisation] : this->source->organisations)
        this->organisations.emplace(
            organisation.api_key_hash,
            indexed_organisation{helpers::id_of<helpers::organisation_id>(name), &organisation});
}

const indexed_organisation*
configuration_index::organisation_by_key(std::string_view api_key) const {
    const auto it = this->organisations.find(sha256_hex(api_key));
    return it == this->organisations.end() ? nullptr : &it->second;
}

const indexed_service* configuration_index::service_by_path(std::string_view path) const {
    for (const auto& candidate : this->routes)
        if (covers(candidate.prefix, path))
            return &this->all_services[candidate.service];
    return nullptr;
}

const indexed_service* configuration_index::service_by_model(std::string_view model) const {
    const auto it = this->models.find(model);
    return it == this->models.end() ? nullptr : &this->all_services[it->second];
}

} // namespace samphirespool::router
