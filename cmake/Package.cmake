# client_proxy_package(NAME [SOURCES file ...] [DEPS library ...])
#
# The package src/NAME: its headers lie in src/NAME/include/NAME, and only who links it can include them. Without
# sources it is headers alone.
function(client_proxy_package name)
  cmake_parse_arguments(P "" "" "SOURCES;DEPS" ${ARGN})
  set(target client_proxy_${name})
  if(P_SOURCES)
    add_library(${target} STATIC ${P_SOURCES})
    target_include_directories(${target} PUBLIC include)
    target_link_libraries(${target} PUBLIC ${P_DEPS})
  else()
    add_library(${target} INTERFACE)
    target_include_directories(${target} INTERFACE include)
    target_link_libraries(${target} INTERFACE ${P_DEPS})
  endif()
endfunction()
