// Scans for the ends of values. Nesting is counted, so that its depth does not matter.
#include "helpers/json_split.hpp"

#include <algorithm>

namespace samphirespool::helpers {

namespace {

class scanner {
public:
    explicit scanner(std::string_view text) : text(text) {}

    // Skips white space, and the character if it follows.
    bool accept(char expected) {
        this->skip_space();
        if (this->at >= this->text.size() || this->text[this->at] != expected)
            return false;
        ++this->at;
        return true;
    }
    bool is_at_end() {
        this->skip_space();
        return this->at == this->text.size();
    }

    std::optional<std::string_view> read_string() {
        this->skip_space();
        const auto begin = this->at + 1;
        if (!this->skip_string())
            return std::nullopt;
        return this->text.substr(begin, this->at - 1 - begin);
    }

    std::optional<std::string_view> read_value() {
        this->skip_space();
        const auto begin = this->at;
        if (!this->skip_value() || this->at == begin)
            return std::nullopt;
        return this->text.substr(begin, this->at - begin);
    }

private:
    static bool is_one_of(char given, std::string_view set) {
        return set.find(given) != std::string_view::npos;
    }
    void skip_space() {
        while (this->at < this->text.size() && is_one_of(this->text[this->at], " \t\r\n"))
            ++this->at;
    }
    bool skip_string() {
        if (this->at >= this->text.size() || this->text[this->at] != '"')
            return false;
        for (++this->at; this->at < this->text.size(); ++this->at) {
            if (this->text[this->at] == '\\')
                ++this->at;
            else if (this->text[this->at] == '"')
                return ++this->at, true;
        }
        return false;
    }
    bool skip_value() {
        std::size_t depth = 0;
        while (this->at < this->text.size()) {
            const auto next = this->text[this->at];
            if (next == '"') {
                if (!this->skip_string())
                    return false;
                if (depth == 0)
                    return true;
                continue;
            }
            if (depth == 0 && is_one_of(next, ",]} \t\r\n"))
                return true;
            ++this->at;
            if (is_one_of(next, "{["))
                ++depth;
            else if (is_one_of(next, "}]") && --depth == 0)
                return true;
        }
        return depth == 0;
    }

    std::string_view text;
    std::size_t at = 0;
};

} // namespace

std::optional<std::vector<json_member>> split_json_object(std::string_view text) {
    scanner scan(text);
    std::vector<json_member> result;
    if (!scan.accept('{'))
        return std::nullopt;
    if (scan.accept('}'))
        return scan.is_at_end() ? std::optional(result) : std::nullopt;
    do {
        const auto name = scan.read_string();
        const auto value = name && scan.accept(':') ? scan.read_value() : std::nullopt;
        if (!value)
            return std::nullopt;
        result.push_back({*name, *value});
    } while (scan.accept(','));
    return scan.accept('}') && scan.is_at_end() ? std::optional(std::move(result)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> split_json_array(std::string_view text) {
    scanner scan(text);
    std::vector<std::string_view> result;
    if (!scan.accept('['))
        return std::nullopt;
    if (scan.accept(']'))
        return scan.is_at_end() ? std::optional(result) : std::nullopt;
    do {
        const auto value = scan.read_value();
        if (!value)
            return std::nullopt;
        result.push_back(*value);
    } while (scan.accept(','));
    return scan.accept(']') && scan.is_at_end() ? std::optional(std::move(result)) : std::nullopt;
}

std::string_view find_json_member(const std::vector<json_member>& members, std::string_view name) {
    const auto found = std::find_if(members.begin(), members.end(),
                                    [name](const auto& each) { return each.name == name; });
    return found == members.end() ? std::string_view() : found->value;
}

} // namespace samphirespool::helpers
