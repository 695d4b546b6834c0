// Checks that this process can use the files that the settings name.
#include "http/tls_keys.hpp"
#include "settings/router_settings.hpp"

#include <fstream>

namespace samphirespool::settings {

namespace {

// Loads certificate and key as the listener does, which also detects a key that belongs to another
// certificate.
void check_tls(std::string_view key, const std::optional<tls_settings>& tls,
               std::vector<kernel::error>& faults) {
    if (!tls)
        return;
    kernel::error reason;
    if (!http::tls_keys(tls->certificate_file, tls->key_file).load(reason))
        faults.push_back({reason.kind, std::string(key) + ": " + reason.detail});
}

} // namespace

void check_files(const router_settings& settings, std::vector<kernel::error>& faults) {
    check_tls("caller_tls", settings.caller_tls, faults);
    check_tls("admin_tls", settings.admin_tls, faults);
    if (settings.log_file.empty())
        return;
    const std::ofstream log(settings.log_file, std::ios::app);
    if (!log.good())
        faults.push_back({kernel::error_kind::invalid_settings,
                          "log_file: " + settings.log_file + " cannot be written"});
}

} // namespace samphirespool::settings
