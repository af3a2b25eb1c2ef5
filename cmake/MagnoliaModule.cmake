# magnolia_module: declares one module as a static library that others can link, with its tests.
#
#   magnolia_module(<name> PUBLIC_HEADERS ... SOURCES ... DEPENDS ... TESTS ... TEST_DEPENDS ...)
#
# <name> becomes target magnolia_<name>, exported as Magnolia::<name>. A module without SOURCES is an
# interface library. Each TESTS file goes into one Catch2 program, tests_<name>, whose cases ctest lists.
function(magnolia_module name)
    cmake_parse_arguments(ARG "" "" "PUBLIC_HEADERS;SOURCES;DEPENDS;TESTS;TEST_DEPENDS" ${ARGN})
    set(target magnolia_${name})
    if(ARG_SOURCES)
        set(scope PUBLIC)
        add_library(${target} STATIC ${ARG_SOURCES})
        target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic ${MAGNOLIA_WARNING_FLAGS})
    else()
        set(scope INTERFACE)
        add_library(${target} INTERFACE)
    endif()
    add_library(Magnolia::${name} ALIAS ${target})
    set_target_properties(${target} PROPERTIES EXPORT_NAME ${name})
    target_include_directories(${target} ${scope} $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src>
        $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/magnolia>)
    target_compile_features(${target} ${scope} cxx_std_20)
    if(ARG_DEPENDS)
        target_link_libraries(${target} ${scope} ${ARG_DEPENDS})
    endif()
    target_sources(${target} ${scope} FILE_SET HEADERS BASE_DIRS ${PROJECT_SOURCE_DIR}/src FILES ${ARG_PUBLIC_HEADERS})
    install(TARGETS ${target} EXPORT MagnoliaTargets
        FILE_SET HEADERS DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/magnolia)

    if(MAGNOLIA_BUILD_TESTS AND ARG_TESTS)
        add_executable(tests_${name} ${ARG_TESTS})
        target_compile_options(tests_${name} PRIVATE -Wall -Wextra ${MAGNOLIA_WARNING_FLAGS})
        target_link_libraries(tests_${name} PRIVATE ${target} magnolia_testmain ${ARG_TEST_DEPENDS})
        catch_discover_tests(tests_${name} TEST_PREFIX "${name}: " PROPERTIES TIMEOUT 300)
    endif()
endfunction()
