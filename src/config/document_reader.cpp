// Type checks of single fields.
#include "config/document_reader.hpp"

namespace samphirespool::config {

std::string document_reader::path_of(std::string_view field) const {
    if (this->path.empty())
        return std::string(field);
    return this->path + "." + std::string(field);
}

const nlohmann::json* document_reader::child(std::string_view field) {
    this->known.emplace(field);
    if (!this->document.is_object())
        return nullptr;
    const auto found = this->document.find(field);
    return found == this->document.end() ? nullptr : &*found;
}

void document_reader::read(std::string_view field, std::string& value) {
    const auto* found = this->child(field);
    if (found == nullptr)
        return;
    if (found->is_string())
        value = found->get<std::string>();
    else
        add_fault(this->faults, this->path_of(field), "must be a string");
}

void document_reader::read(std::string_view field, bool& value) {
    const auto* found = this->child(field);
    if (found == nullptr)
        return;
    if (found->is_boolean())
        value = found->get<bool>();
    else
        add_fault(this->faults, this->path_of(field), "must be true or false");
}

void document_reader::read(std::string_view field, double& value) {
    const auto* found = this->child(field);
    if (found == nullptr)
        return;
    if (found->is_number())
        value = found->get<double>();
    else
        add_fault(this->faults, this->path_of(field), "must be a number");
}

void document_reader::read(std::string_view field, std::uint64_t& value) {
    const auto* found = this->child(field);
    if (found == nullptr)
        return;
    if (found->is_number_unsigned())
        value = found->get<std::uint64_t>();
    else
        add_fault(this->faults, this->path_of(field), "must be a whole number of at least 0");
}

void document_reader::read(std::string_view field, std::uint32_t& value) {
    std::uint64_t wide = value;
    this->read(field, wide);
    if (wide > std::numeric_limits<std::uint32_t>::max())
        add_fault(this->faults, this->path_of(field), "is too large");
    else
        value = static_cast<std::uint32_t>(wide);
}

void document_reader::read(std::string_view field, std::int64_t& value) {
    const auto* found = this->child(field);
    if (found == nullptr)
        return;
    if (found->is_number_integer())
        value = found->get<std::int64_t>();
    else
        add_fault(this->faults, this->path_of(field), "must be a whole number");
}

void document_reader::read(std::string_view field, std::vector<std::string>& value) {
    const auto* found = this->child(field);
    if (found == nullptr)
        return;
    if (!found->is_array()) {
        add_fault(this->faults, this->path_of(field), "must be a list of strings");
        return;
    }
    value.clear();
    for (std::size_t i = 0; i < found->size(); ++i) {
        if ((*found)[i].is_string())
            value.push_back((*found)[i].get<std::string>());
        else
            add_fault(this->faults, this->path_of(field) + "[" + std::to_string(i) + "]",
                      "must be a string");
    }
}

void document_reader::reject_unknown_fields() {
    if (!this->document.is_object())
        return;
    for (const auto& [field, value] : this->document.items())
        if (!this->known.contains(field))
            add_fault(this->faults, this->path_of(field), "is no known field");
}

} // namespace samphirespool::config
