// Retries of requests that a target may have run, as a share of requests. (An attempt that provably
// sent nothing adds no work to the targets and needs no budget; the number of attempts bounds it.)
// Each router keeps its own budget: every request it accepts adds the share, every retry takes one.
// Since retries(router) <= share x requests(router) + reserve holds on each router, the fleet's
// retries are at most share x requests + reserve x routers, with no messages.
#pragma once

namespace samphirespool::request {

class retry_budget {
public:
    // Retries that a router may save up while nothing fails, and has when it starts.
    static constexpr double reserve = 10;

    explicit retry_budget(double share = 0.1) : share(share) {}

    // From the preset in force.
    void set_share(double wanted) { this->share = wanted; }

    void record_request();

    // Takes one retry from the budget if there is one.
    bool try_spend();

    double available() const { return this->saved; }

private:
    double share;
    // Invariant: in [0, reserve].
    double saved = reserve;
};

} // namespace samphirespool::request
