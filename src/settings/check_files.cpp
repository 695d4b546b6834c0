// Checks that the files named in the settings can be used by this process.
#include "settings/router_settings.hpp"

#include <fstream>

namespace samphirespool::settings {

namespace {

void check_readable(std::string_view key, const std::string& path,
                    std::vector<kernel::error>& faults) {
    std::ifstream file(path);
    if (file.good() && file.peek() != std::ifstream::traits_type::eof())
        return;
    faults.push_back({kernel::error_kind::invalid_settings,
                      std::string(key) + ": " + path + " cannot be read or is empty"});
}

void check_tls(std::string_view key, const std::optional<tls_settings>& tls,
               std::vector<kernel::error>& faults) {
    if (!tls)
        return;
    check_readable(std::string(key) + ".certificate_file", tls->certificate_file, faults);
    check_readable(std::string(key) + ".key_file", tls->key_file, faults);
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
