// Checks the rules of model/claims.pml on every update of a head object that takes effect while the
// real code runs.
#pragma once

#include "claims/claim_record.hpp"
#include "tests/store/fake_object_store.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace samphirespool::tests {

class journal_rules {
public:
    explicit journal_rules(shared_store& shared) : shared(shared) {
        shared.on_update = [this](std::string_view key, const std::string& value) {
            if (key.ends_with("/head"))
                this->check(key, value);
        };
    }

    // Requests whose router released the claim or timed out.
    std::set<helpers::request_id> released;

    const std::vector<std::string>& violations() const { return this->found_violations; }
    std::size_t updates() const { return this->writers.size(); }

private:
    using record_table = std::map<claims::claim_key, claims::claim_record>;
    struct shard_state {
        claims::journal_head head;
        record_table records;
    };

    void check(std::string_view key, const std::string& value) {
        const auto head = claims::parse_head(value);
        if (!head) {
            this->found_violations.push_back("a head does not parse");
            return;
        }
        auto& before = this->shards[std::string(key)];
        auto after = this->table_of(key, *head);
        this->require(head->floor >= before.head.floor, "the floor decreased");
        this->require(head->next_order >= before.head.next_order, "the order decreased");
        this->require(this->writers.emplace(head->writer, head->nonce, std::string(key)).second,
                      "a writer repeated a nonce");
        for (const auto& [name, record] : before.records)
            this->check_change(record, after, *head);
        for (const auto& [name, record] : after)
            if (!before.records.contains(name))
                this->require(record.state == claims::claim_state::claimed &&
                                  record.date > before.head.floor,
                              "a new record is not a claim above the floor");
        before = {*head, std::move(after)};
    }

    // The rules that the model's mutants FILES and NO_FLOOR break: a record is removed only up to
    // the floor, and only the request that claimed it changes it.
    void check_change(const claims::claim_record& old, const record_table& after,
                      const claims::journal_head& head) {
        const auto found = after.find(old.key);
        if (found == after.end()) {
            this->require(old.date <= head.floor, "a record was removed above the floor");
            return;
        }
        const auto& now = found->second;
        if (now == old)
            return;
        // One update may hold several changes of a key, so a claim may be released and claimed
        // again in it; only the router that claimed may have released it.
        const auto was_released = this->released.contains(old.request);
        const auto was_claimed = old.state == claims::claim_state::claimed;
        const auto is_settled = now.request == old.request && was_claimed &&
                                (now.state == claims::claim_state::executed || was_released);
        const auto is_claimed_again = now.request != old.request && was_released &&
                                      (was_claimed || old.state == claims::claim_state::released);
        this->require(is_settled || is_claimed_again, "a record changed in a forbidden way");
    }

    record_table table_of(std::string_view key, const claims::journal_head& head) {
        record_table result;
        const auto add = [&result, &head](const claims::claim_record& record) {
            const auto [at, added] = result.try_emplace(record.key, record);
            if (!added && at->second.order < record.order)
                at->second = record;
            if (record.date <= head.floor)
                result.erase(record.key);
        };
        const auto prefix = std::string(key.substr(0, key.rfind('/'))) + "/snapshot/";
        for (const auto& snapshot : head.snapshots) {
            auto& records = this->snapshots[prefix + snapshot.name];
            if (records.empty()) {
                const auto parsed =
                    claims::parse_records(this->shared.find(prefix + snapshot.name).entry.value);
                this->require(parsed.has_value(), "a referenced snapshot does not exist");
                records = parsed.value_or(records);
            }
            for (const auto& record : records)
                add(record);
        }
        for (const auto& record : head.recent)
            add(record);
        return result;
    }

    void require(bool holds, const char* rule) {
        if (!holds)
            this->found_violations.emplace_back(rule);
    }

    shared_store& shared;
    std::map<std::string, shard_state> shards;
    std::map<std::string, std::vector<claims::claim_record>> snapshots;
    std::set<std::tuple<std::string, std::uint64_t, std::string>> writers;
    std::vector<std::string> found_violations;
};

} // namespace samphirespool::tests
