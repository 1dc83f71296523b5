# knapweedloft_library(NAME DEPENDS lib...)
#
# Declares the library libs/NAME from src/*.cpp, one test program from
# tests/*Test.cpp and one benchmark program from benchmarks/*Benchmark.cpp.
include(GoogleTest)

function(knapweedloft_library NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS src/*.cpp)
  set(TESTS)
  set(BENCHMARKS)
  if(KNAPWEEDLOFT_TESTS)
    file(GLOB TESTS CONFIGURE_DEPENDS tests/*.cpp)
    file(GLOB BENCHMARKS CONFIGURE_DEPENDS benchmarks/*Benchmark.cpp)
  endif()
  if(SOURCES)
    add_library(${NAME} STATIC ${SOURCES})
    target_include_directories(${NAME} PUBLIC include PRIVATE src)
    target_link_libraries(${NAME} PUBLIC ${ARG_DEPENDS})
  else()
    add_library(${NAME} INTERFACE)
    target_include_directories(${NAME} INTERFACE include)
    target_link_libraries(${NAME} INTERFACE ${ARG_DEPENDS})
  endif()
  if(TESTS)
    add_executable(${NAME}_tests ${TESTS})
    target_include_directories(${NAME}_tests PRIVATE src tests)
    target_link_libraries(${NAME}_tests PRIVATE ${NAME} GTest::gmock
                                                GTest::gtest_main)
    gtest_discover_tests(${NAME}_tests TEST_PREFIX ${NAME}. DISCOVERY_TIMEOUT
                         60 PROPERTIES TIMEOUT 300)
  endif()
  if(BENCHMARKS)
    add_executable(${NAME}_benchmarks ${BENCHMARKS})
    target_include_directories(${NAME}_benchmarks PRIVATE src benchmarks)
    target_link_libraries(
      ${NAME}_benchmarks PRIVATE ${NAME} benchmark::benchmark
                                 benchmark::benchmark_main)
  endif()
endfunction()
