#include "cell/call_batcher.h"

#include <catch2/catch.hpp>

using namespace medlarhub;

namespace {

struct sent_message {
    pb::job_calls calls;
    milliseconds timeout{0};
    peer_callback<pb::job_answers> done;
};

pb::job_call state_query(const std::string& id, milliseconds timeout) {
    pb::job_call call;
    call.set_what(pb::job_call::state);
    call.set_id(id);
    call.set_timeout_ms(timeout.count());
    return call;
}

pb::job_answers answers_to(const pb::job_calls& calls) {
    pb::job_answers answers;
    for (const auto& call : calls.calls())
        answers.add_answers()->set_reason(call.id());
    return answers;
}

} // namespace

TEST_CASE("calls are batched while an earlier message is in flight, and each gets its own answer",
          "[batcher]") {
    std::vector<sent_message> sent;
    const auto batcher = std::make_shared<call_batcher>(
        [&](const std::string&, const pb::job_calls& calls, milliseconds timeout, auto done) {
            sent.push_back({calls, timeout, std::move(done)});
        },
        1);
    std::map<std::string, std::string> got;
    const auto ask = [&](const std::string& id, milliseconds timeout) {
        batcher->add("owner", state_query(id, timeout),
                     [&got, id](peer_delivery delivery, const pb::job_answer& answer) {
                         got[id] = delivery == peer_delivery::answered ? answer.reason() : "lost";
                     });
    };
    ask("a", milliseconds{100});
    ask("b", milliseconds{100});
    ask("c", milliseconds{900});
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].calls.calls_size() == 1);

    SECTION("answered") {
        sent[0].done(peer_delivery::answered, answers_to(sent[0].calls));
        REQUIRE(sent.size() == 2);
        CHECK(sent[1].calls.calls_size() == 2);
        CHECK(sent[1].timeout == milliseconds{900});
        sent[1].done(peer_delivery::answered, answers_to(sent[1].calls));
        CHECK(got == std::map<std::string, std::string>{{"a", "a"}, {"b", "b"}, {"c", "c"}});
    }
    SECTION("lost") {
        sent[0].done(peer_delivery::lost, {});
        REQUIRE(sent.size() == 2);
        sent[1].done(peer_delivery::lost, {});
        CHECK(got == std::map<std::string, std::string>{{"a", "lost"}, {"b", "lost"}, {"c", "lost"}});
    }
    SECTION("an incomplete answer counts as lost") {
        sent[0].done(peer_delivery::answered, {});
        CHECK(got["a"] == "lost");
    }
    SECTION("another owner isn't delayed") {
        batcher->add("other", state_query("d", milliseconds{100}),
                     [](peer_delivery, const pb::job_answer&) {});
        CHECK(sent.size() == 2);
    }
}
