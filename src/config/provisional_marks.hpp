// Leave marks that are in effect before the store has accepted them. A provisional mark lives
// until its id is settled in the accepted root: by its own acceptance, or by a later accepted mark
// on the same name whose acceptor knew it. A change by someone who did not know it never undoes it.
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

// The name under which the root keeps what is settled for the mark.
std::string settled_key(mark_subject subject, std::string_view name);

class provisional_marks {
public:
    // At most this many are held; more are refused.
    static constexpr std::size_t capacity = 1024;

    // Returns false if the mark is known, settled, or there is no room.
    bool add(const provisional_mark& mark, const stored_root& accepted);

    // Drops the marks that the root has settled. Returns whether there were any.
    bool drop_settled(const stored_root& accepted);

    // Adds the marks to those that were accepted.
    void overlay(fleet_configuration& configuration) const;

    std::vector<std::string> ids_for(mark_subject subject, std::string_view name) const;
    const std::map<std::string, provisional_mark, std::less<>>& all() const { return this->marks; }
    bool empty() const { return this->marks.empty(); }

    // Equal sets have equal digests; that of the empty set is 0.
    std::uint64_t digest() const;

private:
    std::map<std::string, provisional_mark, std::less<>> marks;
};

} // namespace samphirespool::config
