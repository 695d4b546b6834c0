// The router daemon.
#include "http/event_loop.hpp"

int main() {
    samphirespool::http::event_loop loop;
    loop.on_terminate([&loop] { loop.stop(); });
    loop.run();
    return 0;
}
