// Defines main() of briarbarrow_tests; doctest finds and runs the test cases of the other files.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
