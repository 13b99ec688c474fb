#include <cstdlib> // setenv

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

int main(int argc, char** argv)
{
    // property tests repeat the same cases unless the caller sets RC_PARAMS
    setenv("RC_PARAMS", "seed=20261204", 0);
    return doctest::Context{argc, argv}.run();
}
