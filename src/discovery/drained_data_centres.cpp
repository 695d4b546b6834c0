// Joins the list of the registry with what was drained before it came back.
#include "discovery/drained_data_centres.hpp"

#include <utility>

namespace samphirespool::discovery {

void drained_data_centres::replace(const std::vector<feed_object>& objects) {
    this->listed.clear();
    this->change(objects);
}

void drained_data_centres::change(std::span<const feed_object> objects) {
    for (const auto& object : objects) {
        // Either is the operator's later word.
        this->held.erase(object.name);
        if (object.is_removed)
            this->listed.erase(object.name);
        else
            this->listed.insert(object.name);
    }
}

void drained_data_centres::on_source_restored(helpers::time_point now) {
    this->held = this->names();
    this->held_until = now + restored_copy_time;
}

bool drained_data_centres::expire(helpers::time_point now) {
    return now >= this->held_until && !std::exchange(this->held, {}).empty();
}

std::set<std::string> drained_data_centres::names() const {
    auto result = this->listed;
    result.insert(this->held.begin(), this->held.end());
    return result;
}

} // namespace samphirespool::discovery
