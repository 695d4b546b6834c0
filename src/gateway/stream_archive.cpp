// When the kind is listed, and what is answered from it. The writes are in
// stream_archive_writes.cpp.
#include "gateway/stream_archive.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace samphirespool::gateway {

namespace {

constexpr helpers::duration tick_interval = std::chrono::milliseconds(100);
// While records are written: a stream that began since the last write is lost with the fleet.
constexpr helpers::duration writing_tick_interval = std::chrono::milliseconds(30);
// Without an answer from the store, calls are repeated at intervals that double between these.
constexpr helpers::duration min_retry_delay = std::chrono::milliseconds(250);
constexpr helpers::duration max_retry_delay = std::chrono::seconds(4);
// Longer than a lookup lasts.
constexpr helpers::duration question_lifetime = std::chrono::seconds(2);
// A listing is repeated at most this often because targets may have been missed since.
constexpr helpers::duration min_listing_age = std::chrono::seconds(1);
constexpr std::string_view history_name = "history";
constexpr std::string_view single_group = "all";

} // namespace

stream_archive::stream_archive(const stream_archive_services& services) : services(services) {}

stream_archive::~stream_archive() {
    this->services.loop.cancel(this->timer);
}

void stream_archive::start() {
    this->tick();
}

void stream_archive::tick() {
    const bool is_writing = this->hub_of && this->mixed_services() > 0;
    this->timer = this->services.loop.schedule(is_writing ? writing_tick_interval : tick_interval,
                                               [this] { this->tick(); });
    const auto now = this->services.loop.time().now();
    this->check_role();
    if (!this->hub_of)
        return;
    this->observe(now);
    if (this->is_calling || now < this->next_call_at)
        return;
    if (!this->listed_at) {
        if (this->needs_listing())
            this->list({});
        return;
    }
    if (now - *this->listed_at > exchange::stream_origins::lifetime)
        this->listed.clear();
    if (!this->write_history())
        this->write_records(now);
}

void stream_archive::check_role() {
    const auto& node = this->services.node;
    const auto role = node.is_hub() ? std::optional(node.group()) : std::nullopt;
    const auto era = this->services.fleet.gate().era();
    const bool is_restored = this->listed_at && era > this->listed_era;
    if (role == this->hub_of && !is_restored)
        return;
    this->hub_of = role;
    this->forget_listing();
    this->ring.clear();
    this->listed.clear();
    // The listing of a new hub has all that it needs.
    if (!role)
        this->history = {};
    this->position = 0;
    this->recorded_versions.clear();
}

void stream_archive::forget_listing() {
    this->listed_at.reset();
    this->wants_listing = false;
    this->call.reset();
    this->is_calling = false;
}

void stream_archive::observe(helpers::time_point now) {
    const auto& table = this->services.fleet.table();
    if (table == nullptr)
        return;
    std::unordered_map<helpers::service_id, helpers::duration> resumable;
    for (const auto& route : table->values().routes) {
        if (!route.is_streaming || !route.is_resumable)
            continue;
        for (const auto& each : route.services) {
            auto& longest = resumable[each.service];
            longest = std::max(longest, routing::longest_stream(route));
        }
    }
    for (const auto& [service, longest] : resumable)
        this->observe(service, longest, now);
    this->history.expire(now);
}

void stream_archive::observe(helpers::service_id service, helpers::duration longest_stream,
                             helpers::time_point now) {
    std::set<std::uint32_t> serving;
    bool names_version = false;
    for (const auto& each : this->services.catalog.targets_of(service)) {
        serving.insert(each->software_hash);
        names_version = names_version || !each->registration.software.empty();
    }
    // Nothing is kept of services whose targets name no versions.
    if (names_version || !this->history.versions(service.value).empty())
        this->history.observe(service.value, serving, longest_stream, now);
}

bool stream_archive::needs_listing() const {
    if (!this->services.fleet.is_initialized())
        return false;
    const bool has_history = this->services.node.is_reader() && !this->history.all().empty();
    return this->wants_listing || has_history || this->history.mixed_service_count() > 0;
}

void stream_archive::list(const std::string& after) {
    this->is_calling = true;
    if (after.empty())
        this->partial_listing.clear();
    ++this->call_counts.lists;
    this->call = this->services.store.list(
        discovery::collection::stream_origins, after, discovery::list_freshness::current,
        [this](const discovery::feed_result& result) { this->on_listed(result); });
}

void stream_archive::on_listed(const discovery::feed_result& result) {
    if (!this->finish_call("list", result))
        return;
    const auto& page = std::get<discovery::feed_page>(result);
    this->partial_listing.insert(this->partial_listing.end(), page.objects.begin(),
                                 page.objects.end());
    this->listed_era = this->services.fleet.gate().era();
    if (page.more && !page.objects.empty()) {
        this->list(page.objects.back().name);
        return;
    }
    this->read_listing();
}

void stream_archive::read_listing() {
    const auto now = this->services.loop.time().now();
    std::vector<exchange::origin_ring::stored_object> own;
    this->stored_history.clear();
    this->history_revision = 0;
    this->is_history_valid = true;
    this->listed.clear();
    for (const auto& object : this->partial_listing)
        this->read_listed(object, own);
    this->ring.load(own);
    this->history.load(this->stored_history, now);
    this->listed_at = now;
    this->wants_listing = false;
    this->services.events.write(kernel::severity::info, "stream_origins.listed", std::nullopt,
                                {{"objects", std::uint64_t{this->partial_listing.size()}},
                                 {"records", std::uint64_t{this->listed.size()}},
                                 {"services", std::uint64_t{this->stored_history.size()}}});
    this->partial_listing.clear();
}

void stream_archive::read_listed(const discovery::feed_object& object,
                                 std::vector<exchange::origin_ring::stored_object>& own) {
    kernel::error reason;
    const auto reject = [&] {
        this->services.events.write(kernel::severity::warning, "stream_origins.rejected",
                                    std::nullopt,
                                    {{"object", object.name}, {"reason", reason.detail}});
    };
    if (object.name == history_name) {
        this->history_revision = object.revision;
        auto lists = this->services.codec.read_version_lists(object.name, object.content, reason);
        this->is_history_valid = lists.has_value();
        if (lists)
            this->stored_history = std::move(*lists);
        else
            reject();
        return;
    }
    auto records = this->services.codec.read_stream_origins(object.name, object.content, reason);
    if (!records) {
        reject();
        records.emplace();
    }
    for (const auto& each : *records)
        this->listed[each.attempt] = each.software;
    const auto prefix = this->object_prefix();
    if (!object.name.starts_with(prefix))
        return;
    std::size_t index = 0;
    const auto* end = object.name.data() + object.name.size();
    const auto parsed = std::from_chars(object.name.data() + prefix.size(), end, index);
    if (parsed.ec == std::errc() && parsed.ptr == end)
        own.push_back({index, object.revision, std::move(*records)});
}

std::string stream_archive::object_prefix() const {
    const auto group = this->hub_of.value_or("");
    return (group.empty() ? std::string(single_group) : group) + "-";
}

bool stream_archive::finish_call(std::string_view call, const discovery::feed_result& result) {
    this->is_calling = false;
    const auto now = this->services.loop.time().now();
    const auto* reason = std::get_if<kernel::error>(&result);
    // What the store has answered about the object is for the caller to handle.
    const bool is_answer = reason != nullptr && (reason->kind == kernel::error_kind::conflict ||
                                                 reason->kind == kernel::error_kind::not_found);
    if (const auto* page = std::get_if<discovery::feed_page>(&result))
        this->services.fleet.gate().learn_era(page->era);
    if (!std::holds_alternative<discovery::history_lost>(result) &&
        (reason == nullptr || (is_answer && call != "list"))) {
        this->retry_delay = {};
        return true;
    }
    ++this->call_counts.failures;
    this->retry_delay = std::clamp(this->retry_delay * 2, min_retry_delay, max_retry_delay);
    this->next_call_at = now + this->retry_delay;
    this->services.events.write(
        kernel::severity::warning, "stream_origins.unreachable", std::nullopt,
        {{"call", std::string(call)},
         {"reason", reason == nullptr ? std::string("history lost") : reason->detail},
         {"retry_ms", helpers::whole_milliseconds(this->retry_delay)}});
    return false;
}

std::optional<std::uint32_t> stream_archive::origin_of(std::uint64_t attempt, std::uint64_t service,
                                                       helpers::time_point now) {
    if (!this->listed_at) {
        this->wants_listing = true;
        return std::nullopt;
    }
    const auto found = this->listed.find(attempt);
    const auto result = found != this->listed.end()
                            ? found->second
                            : this->only_version(service, this->first_asked_at(attempt, now), now);
    if (result)
        ++(*result == 0 ? this->call_counts.unknown : this->call_counts.known);
    return result;
}

helpers::time_point stream_archive::first_asked_at(std::uint64_t attempt, helpers::time_point now) {
    std::erase_if(this->questions,
                  [now](const auto& each) { return now - each.second > question_lifetime; });
    return this->questions.try_emplace(attempt, now).first->second;
}

std::optional<std::uint32_t> stream_archive::only_version(std::uint64_t service,
                                                          helpers::time_point asked_at,
                                                          helpers::time_point now) {
    if (service == 0 || !this->is_history_valid)
        return 0;
    auto versions = this->history.versions(service);
    for (const auto& each : this->services.catalog.targets_of(helpers::service_id{service}))
        versions.insert(each->software_hash);
    if (versions.size() != 1)
        return 0;
    // The stream may have begun at a target that this hub does not know yet.
    if (!this->services.fleet.targets_watch().confirm_since(asked_at))
        return std::nullopt;
    const auto age = now - *this->listed_at;
    if (this->services.catalog.is_complete_for(age, now))
        return *versions.begin();
    // A version may have come and gone since the listing.
    if (age > min_listing_age && !this->is_calling) {
        this->listed_at.reset();
        this->wants_listing = true;
    }
    return std::nullopt;
}

} // namespace samphirespool::gateway
