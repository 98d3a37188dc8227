// The main function of all doctest programs.

// clang-tidy would spend minutes on the implementation of doctest, which is not
// code of this project.
#ifndef __clang_analyzer__
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#endif
#include <doctest/doctest.h>
