# citronwick_package(NAME DEPENDS a b LIBRARIES x y [IO])
#
# Declares one package of the workspace: a library from src/ and one test
# program from tests/*.tests.cpp. IO packages share the precompiled headers
# of the networking libraries.
function(citronwick_package name)
  cmake_parse_arguments(ARG "IO" "" "DEPENDS;LIBRARIES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
  list(FILTER sources EXCLUDE REGEX "main\\.cpp$")
  set(target citronwick_${name})
  add_library(${target} STATIC ${sources})
  target_include_directories(${target} PUBLIC include PRIVATE src)
  target_link_libraries(${target} PUBLIC citronwick_options ${ARG_LIBRARIES})
  foreach(dependency IN LISTS ARG_DEPENDS)
    target_link_libraries(${target} PUBLIC citronwick_${dependency})
  endforeach()
  if(ARG_IO)
    citronwick_use_pch(${target})
  endif()
  file(GLOB tests CONFIGURE_DEPENDS tests/*.tests.cpp)
  if(tests)
    citronwick_test_program(${target}_tests ${target} ${tests})
    target_include_directories(${target}_tests PRIVATE src)
  endif()
endfunction()

# Adds the networking headers as precompiled headers to a target.
function(citronwick_use_pch target)
  if(CITRONWICK_PCH)
    target_precompile_headers(${target} PRIVATE
      <boost/asio.hpp> <boost/beast/core.hpp> <boost/beast/http.hpp> <boost/json.hpp>
      <spdlog/spdlog.h> <chrono> <map> <memory> <ranges> <string> <vector>)
  endif()
endfunction()

# Builds a doctest program and registers each of its test cases with CTest.
function(citronwick_test_program program library)
  add_executable(${program} ${ARGN} ${CMAKE_SOURCE_DIR}/tests/main.cpp)
  target_link_libraries(${program} PRIVATE ${library} citronwick_plugins doctest::doctest rapidcheck)
  doctest_discover_tests(${program} TEST_PREFIX "${program}: " PROPERTIES TIMEOUT 60 LABELS unit)
endfunction()
