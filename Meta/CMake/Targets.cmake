# Helpers that declare the project's libraries and test programs.

# coltsfootdale_library(LibName SOURCES a.cc ... DEPENDS LibBase ...)
# Headers are included as "LibName/header.h".
function(coltsfootdale_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/Libraries)
  target_link_libraries(${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# coltsfootdale_test(TestLibName SOURCES a.cc ... DEPENDS LibName ...)
# One doctest program for each library; test_main.cc holds its main function.
function(coltsfootdale_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/Tests/test_main.cc)
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/Libraries
                                             ${PROJECT_SOURCE_DIR}/Tests)
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES
    TIMEOUT 120
    ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=300")
endfunction()
