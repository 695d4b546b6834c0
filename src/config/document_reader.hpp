// Reads the fields of one JSON object and collects all faults with the paths to their fields. To be
// included only by the .cpp files that parse JSON.
#pragma once

#include "kernel/error.hpp"

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace samphirespool::config {

using fault_list = std::vector<kernel::error>;

// Appends a fault of kind `invalid_configuration` with the detail "path: reason".
inline void add_fault(fault_list& faults, std::string_view path, std::string_view reason) {
    std::string detail(path);
    detail += ": ";
    detail += reason;
    faults.push_back({kernel::error_kind::invalid_configuration, std::move(detail)});
}

class document_reader {
public:
    // `path` leads from the whole document to this object; empty for the outermost object.
    document_reader(const nlohmann::json& document, std::string path, fault_list& faults)
        : document(document), path(std::move(path)), faults(faults) {
        if (!document.is_object())
            add_fault(faults, this->path, "must be an object");
    }

    bool is_object() const { return this->document.is_object(); }
    std::string path_of(std::string_view field) const;

    // Each overload leaves the value unchanged if the field is missing, and adds a fault if it has
    // the wrong type.
    void read(std::string_view field, std::string& value);
    void read(std::string_view field, bool& value);
    void read(std::string_view field, double& value);
    void read(std::string_view field, std::uint32_t& value);
    void read(std::string_view field, std::uint64_t& value);
    void read(std::string_view field, std::int64_t& value);
    void read(std::string_view field, std::vector<std::string>& value);

    // As read, but adds a fault if the field is missing.
    template <class Value>
    void require(std::string_view field, Value& value) {
        if (this->is_object() && !this->document.contains(field))
            add_fault(this->faults, this->path_of(field), "is missing");
        this->read(field, value);
    }

    // Returns the field's value, or null if it is missing.
    const nlohmann::json* child(std::string_view field);

    // Adds a fault for every field that no call has read.
    void reject_unknown_fields();

private:
    const nlohmann::json& document;
    std::string path;
    fault_list& faults;
    // Names that were passed to child, read or require.
    std::set<std::string, std::less<>> known_fields;
};

} // namespace samphirespool::config
