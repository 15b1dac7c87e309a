include(CMakeFindDependencyMacro)
find_dependency(Threads)
find_dependency(fmt)
find_dependency(nlohmann_json)
# Headers only (Boost.Intrusive).
find_dependency(Boost 1.81)
find_dependency(PkgConfig)
pkg_check_modules(SODIUM REQUIRED IMPORTED_TARGET libsodium)
include("${CMAKE_CURRENT_LIST_DIR}/waxwinglug-targets.cmake")
