#include "logservice/LogServer.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <exception>

namespace {

using namespace knapweedloft;

/// Blocks until SIGTERM or SIGINT, which must be blocked in every thread.
void awaitStop(const sigset_t &Signals) {
  int Received = 0;
  sigwait(&Signals, &Received);
}

int serve(const logservice::LogStore::Options &StoreOptions,
          const logservice::LogServer::Options &ServerOptions) {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  logservice::LogStore Store(StoreOptions);
  const logservice::LogServer Server(Store, ServerOptions);
  fmt::print(stderr, "listening address={} port={}\n", ServerOptions.m_Address,
             Server.port());
  awaitStop(Signals);
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App{"Stand-in for the platform's append-only log, in memory."};
  logservice::LogStore::Options StoreOptions;
  logservice::LogServer::Options ServerOptions;
  App.add_option("--address", ServerOptions.m_Address, "IPv4 number");
  App.add_option("--port", ServerOptions.m_Port, "0: the kernel chooses");
  App.add_option("--kept-records", StoreOptions.m_KeptRecords,
                 "records kept in each stream; older ones expire");
  CLI11_PARSE(App, Count, Arguments);
  try {
    return serve(StoreOptions, ServerOptions);
  } catch (const std::exception &Error) {
    fmt::print(stderr, "error: {}\n", Error.what());
    return 1;
  }
}
