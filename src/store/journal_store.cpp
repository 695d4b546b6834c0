// Converts the store's statuses to those of the journals.
#include "store/journal_store.hpp"

#include <utility>

namespace samphirespool::store {

namespace {

claims::object_status to_object_status(store_status status) {
    switch (status) {
    case store_status::ok:
        return claims::object_status::ok;
    case store_status::not_found:
        return claims::object_status::not_found;
    case store_status::conflict:
        return claims::object_status::conflict;
    case store_status::rejected:
        return claims::object_status::rejected;
    case store_status::unknown:
        break;
    }
    return claims::object_status::unknown;
}

} // namespace

void journal_store::read(std::string_view key, std::function<void(claims::object_reply)> callback) {
    this->objects.read(key, [callback = std::move(callback)](read_result result) {
        callback(
            {to_object_status(result.status), result.entry.version, std::move(result.entry.value)});
    });
}

void journal_store::write(std::string_view key, std::uint64_t expected, std::string value,
                          std::function<void(claims::object_reply)> callback) {
    this->objects.write(key, expected, std::move(value),
                        [callback = std::move(callback)](const write_result& result) {
                            callback({to_object_status(result.status), result.version, {}});
                        });
}

void journal_store::remove(std::string_view key, std::uint64_t version) {
    this->objects.remove(key, version, [](const write_result&) {});
}

} // namespace samphirespool::store
