#include "process/ctl/ctl.h"

#include <iostream> // cerr, cout

int main(int argc, char** argv)
{
    const auto code = hickorykeel::ctl::run({argv, argv + argc}, std::cout, std::cerr);
    return static_cast<int>(code);
}
