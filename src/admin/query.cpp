// Splits a query into its parameters.
#include "admin/query.hpp"

#include <algorithm>

namespace samphirespool::admin {

std::optional<std::string_view> query_value(std::string_view query, std::string_view name) {
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto field = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const auto split = field.find('=');
        if (split != std::string_view::npos && field.substr(0, split) == name)
            return field.substr(split + 1);
    }
    return std::nullopt;
}

} // namespace samphirespool::admin
