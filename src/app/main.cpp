// Entry point of the program.
#include "app/internal/commandline.h"
#include "app/internal/exitcode.h"

#include <exception>
#include <iostream>

int main(int argc, char **argv)
{
    try {
        return magnolia::app::runCommandLine(argc, argv);
    } catch (const std::exception &ex) {
        std::cerr << "magnoliastream: " << ex.what() << '\n';
        return magnolia::app::exitFailure;
    }
}
