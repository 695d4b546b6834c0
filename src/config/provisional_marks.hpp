// Leave marks that are in effect before the store has accepted them. A provisional mark stays in
// effect until its id is settled in the accepted root: by its own acceptance, or by a later
// accepted mark on the same name from a router that had received it. A change made without
// knowledge of the mark never cancels it.
#pragma once

#include "config/stored_root.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::config {

enum class mark_subject : std::uint8_t {
    data_centre,
    vm,
};

struct provisional_mark {
    // The request id of the change; unique in the fleet.
    std::string id;
    mark_subject subject = mark_subject::data_centre;
    std::string name;
    helpers::wall_milliseconds since = 0;

    friend bool operator==(const provisional_mark&, const provisional_mark&) = default;
};

// Returns the key of a data centre or VM in stored_root::settled.
std::string settled_key(mark_subject subject, std::string_view name);

class provisional_marks {
public:
    // Maximum number of marks; further ones are rejected.
    static constexpr std::size_t capacity = 1024;

    // Returns false if the set already holds the mark, the root has settled it, or the set is full.
    bool add(const provisional_mark& mark, const stored_root& accepted);

    // Removes the marks that the root has settled. Returns whether there were any.
    bool remove_settled(const stored_root& accepted);

    // Sets the marks in the configuration, over a `returning` mark on the same name.
    void overlay(fleet_configuration& configuration) const;

    // Returns the ids of the marks on one data centre or VM.
    std::vector<std::string> ids_for(mark_subject subject, std::string_view name) const;
    // The marks by id.
    const std::map<std::string, provisional_mark, std::less<>>& entries() const {
        return this->marks;
    }
    bool empty() const { return this->marks.empty(); }

    // Digest of the set of ids, independent of their order; 0 for the empty set.
    std::uint64_t digest() const;

private:
    // By id.
    std::map<std::string, provisional_mark, std::less<>> marks;
};

} // namespace samphirespool::config
