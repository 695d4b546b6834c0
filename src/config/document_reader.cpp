// Reads single fields and checks their types.
#include "config/document_reader.hpp"

namespace samphirespool::config {

std::string document_reader::path_of(std::string_view field) const {
    if (this->path.empty())
        return std::string(field);
    return this->path + "." + std::string(field);
}

const nlohmann::json* document_reader::child(std::string_view field) {
    this->known_fields.emplace(field);
    if (!this->document.is_object())
        return nullptr;
    const auto node = this->document.find(field);
    return node == this->document.end() ? nullptr : &*node;
}

void document_reader::read(std::string_view field, std::string& value) {
    const auto* node = this->child(field);
    if (node == nullptr)
        return;
    if (node->is_string())
        value = node->get<std::string>();
    else
        add_fault(this->faults, this->path_of(field), "must be a string");
}

void document_reader::read(std::string_view field, bool& value) {
    const auto* node = this->child(field);
    if (node == nullptr)
        return;
    if (node->is_boolean())
        value = node->get<bool>();
    else
        add_fault(this->faults, this->path_of(field), "must be true or false");
}

void document_reader::read(std::string_view field, double& value) {
    const auto* node = this->child(field);
    if (node == nullptr)
        return;
    if (node->is_number())
        value = node->get<double>();
    else
        add_fault(this->faults, this->path_of(field), "must be a number");
}

void document_reader::read(std::string_view field, std::uint64_t& value) {
    const auto* node = this->child(field);
    if (node == nullptr)
        return;
    if (node->is_number_unsigned())
        value = node->get<std::uint64_t>();
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
    const auto* node = this->child(field);
    if (node == nullptr)
        return;
    if (node->is_number_integer())
        value = node->get<std::int64_t>();
    else
        add_fault(this->faults, this->path_of(field), "must be a whole number");
}

void document_reader::read(std::string_view field, std::vector<std::string>& value) {
    const auto* node = this->child(field);
    if (node == nullptr)
        return;
    if (!node->is_array()) {
        add_fault(this->faults, this->path_of(field), "must be a list of strings");
        return;
    }
    value.clear();
    for (std::size_t i = 0; i < node->size(); ++i) {
        if ((*node)[i].is_string())
            value.push_back((*node)[i].get<std::string>());
        else
            add_fault(this->faults, this->path_of(field) + "[" + std::to_string(i) + "]",
                      "must be a string");
    }
}

void document_reader::reject_unknown_fields() {
    if (!this->document.is_object())
        return;
    for (const auto& [field, value] : this->document.items())
        if (!this->known_fields.contains(field))
            add_fault(this->faults, this->path_of(field), "is an unknown field");
}

} // namespace samphirespool::config
