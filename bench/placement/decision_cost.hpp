// Cost and stability of single decisions over all targets of the design size.
#pragma once

namespace samphirespool::bench {

// Prints the time of a decision over 4,300 targets and the chats moved per engine lost.
void print_decision_cost();

} // namespace samphirespool::bench
