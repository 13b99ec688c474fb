#include "process/ticket_book.h"

#include <doctest/doctest.h>

using namespace hickorykeel;

namespace {

time_point at(int seconds)
{
    return time_point{std::chrono::seconds{seconds}};
}

} // namespace

TEST_CASE("ticket book")
{
    ticket_book book(2);
    REQUIRE(std::holds_alternative<ticket_book::may_run>(book.begin("t", at(60), "f", at(0))));

    SUBCASE("a repeat while it runs does not run")
    {
        CHECK(std::holds_alternative<ticket_book::is_running>(book.begin("t", at(60), "f", at(1))));
    }

    SUBCASE("a repeat after the end gets the same answer")
    {
        book.finish("t", {201, "application/json", "{}", "b-1"});
        const auto verdict = book.begin("t", at(60), "f", at(1));
        REQUIRE(std::holds_alternative<ticket_book::has_run>(verdict));
        CHECK(std::get<ticket_book::has_run>(verdict)->status == 201);
    }

    SUBCASE("a lost outcome stays unknown")
    {
        book.lose("t");
        CHECK(
            std::holds_alternative<ticket_book::may_have_run>(book.begin("t", at(60), "f", at(1))));
    }

    SUBCASE("a request that certainly did not run may be tried again")
    {
        book.release("t");
        CHECK(std::holds_alternative<ticket_book::may_run>(book.begin("t", at(60), "f", at(1))));
    }

    SUBCASE("an expired ticket does not run, as its record may be gone")
    {
        book.finish("t", {201, "application/json", "{}", "b-1"});
        const auto late = book.begin("t", at(60), "f", at(60));
        CHECK_FALSE(std::holds_alternative<ticket_book::may_run>(late));
        const auto later = book.begin("t", at(60), "f", at(61));
        CHECK_FALSE(std::holds_alternative<ticket_book::may_run>(later));
    }

    SUBCASE("another request under the same ticket is refused")
    {
        CHECK(
            std::holds_alternative<ticket_book::body_differs>(book.begin("t", at(60), "g", at(1))));
    }

    SUBCASE("the book is bounded, and expiry makes room")
    {
        REQUIRE(std::holds_alternative<ticket_book::may_run>(book.begin("u", at(9), "f", at(0))));
        CHECK(std::holds_alternative<ticket_book::is_full>(book.begin("v", at(9), "f", at(1))));
        book.lose("u");
        CHECK(std::holds_alternative<ticket_book::may_run>(book.begin("v", at(20), "f", at(10))));
    }

    SUBCASE("a running request outlives its ticket's expiry")
    {
        CHECK(
            std::holds_alternative<ticket_book::is_running>(book.begin("t", at(60), "f", at(61))));
    }
}
