// The main function shared by every doctest program.

// The linter would spend minutes on the implementation of doctest, which is
// not the project's code.
#ifndef __clang_analyzer__
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#endif
#include <doctest/doctest.h>
