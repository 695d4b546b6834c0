// A feed source that the test answers, and a receiver that keeps what it got.
#pragma once

#include "discovery/feed_watch.hpp"

#include <list>
#include <map>
#include <string>

namespace samphirespool::tests {

class fake_feed_source final : public discovery::feed_source {
public:
    struct pending {
        std::string what;
        discovery::collection which;
        std::uint64_t since = 0;
        helpers::duration wait{};
        std::string after;
        std::string name;
        std::string content;
        discovery::feed_task done;
        bool is_cancelled = false;
        bool is_answered = false;
    };

    std::unique_ptr<discovery::feed_call> list(discovery::collection which, std::string_view after,
                                               discovery::feed_task done) override {
        pending made{"list", which};
        made.after = after;
        return this->add(std::move(made), std::move(done));
    }
    std::unique_ptr<discovery::feed_call> watch(discovery::collection which, std::uint64_t since,
                                                helpers::duration wait,
                                                discovery::feed_task done) override {
        pending made{"watch", which, since, wait};
        return this->add(std::move(made), std::move(done));
    }
    std::unique_ptr<discovery::feed_call> create(discovery::collection which, std::string_view name,
                                                 std::string_view content,
                                                 discovery::feed_task done) override {
        pending made{"create", which};
        made.name = name;
        made.content = content;
        return this->add(std::move(made), std::move(done));
    }
    std::unique_ptr<discovery::feed_call> replace(discovery::collection which,
                                                  std::string_view name, std::string_view content,
                                                  discovery::feed_task done) override {
        pending made{"replace", which};
        made.name = name;
        made.content = content;
        return this->add(std::move(made), std::move(done));
    }

    std::unique_ptr<discovery::feed_call> remove(discovery::collection which, std::string_view name,
                                                 discovery::feed_task done) override {
        pending made{"remove", which};
        made.name = name;
        return this->add(std::move(made), std::move(done));
    }

    // The newest call that is neither answered nor cancelled; null if there is none.
    pending* open(discovery::collection which) {
        for (auto each = this->calls.rbegin(); each != this->calls.rend(); ++each)
            if (each->which == which && !each->is_cancelled && !each->is_answered)
                return &*each;
        return nullptr;
    }
    void answer(discovery::collection which, discovery::feed_answer with) {
        auto* call = this->open(which);
        if (call == nullptr)
            return;
        call->is_answered = true;
        const auto done = call->done;
        done(std::move(with));
    }

    std::list<pending> calls;

private:
    struct handle final : discovery::feed_call {
        explicit handle(pending& call) : call(call) {}
        ~handle() override { this->call.is_cancelled = true; }
        pending& call;
    };

    std::unique_ptr<discovery::feed_call> add(pending made, discovery::feed_task done) {
        made.done = std::move(done);
        this->calls.push_back(std::move(made));
        return std::make_unique<handle>(this->calls.back());
    }
};

struct kept_feed final : discovery::feed_receiver {
    void replace(const std::vector<discovery::feed_object>& objects) override {
        this->contents.clear();
        for (const auto& each : objects)
            this->contents[each.name] = each.content;
    }
    void change(const discovery::feed_object& object) override {
        if (object.is_removed)
            this->contents.erase(object.name);
        else
            this->contents[object.name] = object.content;
    }
    void lost() override { ++this->losses; }
    void regained() override { ++this->returns; }

    std::map<std::string, std::string> contents;
    int losses = 0;
    int returns = 0;
};

inline discovery::feed_page page_of(std::uint64_t revision,
                                    std::vector<discovery::feed_object> objects = {}) {
    return {std::move(objects), false, revision};
}

} // namespace samphirespool::tests
