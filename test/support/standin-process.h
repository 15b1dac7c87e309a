// Runs the stand-in platform in a separate process, for tests of the I/O layer and of the binaries.
#pragma once

#include <waxwinglug/ini.h>
#include <waxwinglug/json.h>

#include "cxxtools/http-client.h"

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

namespace waxwinglug::test {

// A stand-in platform process on a free port. The constructor returns once it is listening; the destructor stops it.
class StandinPlatformProcess {
public:
    StandinPlatformProcess()
    {
        int pipeEnds[2] = { -1, -1 };
        EXPECT_EQ(pipe(pipeEnds), 0);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
        posix_spawn_file_actions_addclose(&actions, pipeEnds[0]);
        std::string program = WAXWINGLUG_BUILD_DIR "/test/standin-platform";
        std::string option = "--port=0";
        char* arguments[] = { program.data(), option.data(), nullptr };
        EXPECT_EQ(posix_spawn(&this->processId, program.c_str(), &actions, nullptr, arguments, environ), 0);
        posix_spawn_file_actions_destroy(&actions);
        close(pipeEnds[1]);
        FILE* const output = fdopen(pipeEnds[0], "r");
        unsigned number = 0;
        EXPECT_EQ(std::fscanf(output, "listening on 127.0.0.1:%u", &number), 1);
        std::fclose(output);
        this->address = { "127.0.0.1", static_cast<std::uint16_t>(number) };
    }

    ~StandinPlatformProcess() { EXPECT_EQ(this->stop(), 0); }

    // Ends the process with SIGTERM. Returns its exit code, or -1 if a signal has ended it.
    int stop()
    {
        if (this->processId <= 0)
            return 0;
        int status = 0;
        kill(this->processId, SIGTERM);
        waitpid(this->processId, &status, 0);
        this->processId = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

    // Sends a control request, for example to set a fault; see test/standin/standin-platform.cpp.
    void postControl(const std::string& path, const Json& body) const
    {
        detail::HttpClient client(this->address.host, this->address.port);
        EXPECT_EQ(client.call("POST", path, body.dump(), std::chrono::seconds(2), false).status, 200);
    }

    Endpoint address;

private:
    pid_t processId = 0;
};

} // namespace waxwinglug::test
