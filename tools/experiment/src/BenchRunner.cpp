#include "experiment/BenchRunner.h"

#include "experiment/ExperimentError.h"
#include "harness/HarnessError.h"
#include "harness/Process.h"

#include "fmt/format.h"

#include <atomic>
#include <fstream>
#include <iterator>
#include <mutex>
#include <thread>
#include <utility>

namespace knapweedloft::experiment {
namespace {

namespace fs = std::filesystem;

/// Runs the bench in a folder. \returns its exit code.
int runIn(const fs::path &Folder, std::vector<std::string> Command,
          const fs::path &Output) {
  Command.insert(Command.begin(), {"/usr/bin/env", "-C", Folder.string()});
  return harness::Process(Command, Output.string()).wait();
}

std::string readFile(const fs::path &Path) {
  std::ifstream File(Path);
  return {std::istreambuf_iterator<char>(File), {}};
}

std::string nameOf(const PlayId &Id) {
  return fmt::format("{} {} {} --seed {}", Id.m_Variant, Id.m_Site, Id.m_Day,
                     Id.m_Seed);
}

} // namespace

BenchRunner::BenchRunner(Options Settings) : m_Options(std::move(Settings)) {
  m_Options.m_Bench = fs::absolute(m_Options.m_Bench).string();
  m_Options.m_Repository = fs::absolute(m_Options.m_Repository);
  m_Options.m_Folder = fs::absolute(m_Options.m_Folder);
  if (!fs::exists(m_Options.m_Bench))
    throw ExperimentError(fmt::format("no bench at {}", m_Options.m_Bench));
}

void BenchRunner::build(const WorkTree &Tree) const {
  fs::path Output =
      m_Options.m_Folder / (Tree.path().filename().string() + "-build.txt");
  if (runIn(Tree.path(), {m_Options.m_Bench, "build"}, Output) != 0)
    throw ExperimentError(fmt::format("{} was not built: {}",
                                      Tree.path().string(), Output.string()));
}

std::vector<WorkTree> BenchRunner::prepare(const ExperimentPlan &Plan) const {
  std::vector<WorkTree> Trees;
  for (const Variant &One : Plan.m_Variants) {
    Trees.emplace_back(m_Options.m_Repository, m_Options.m_Folder, One);
    build(Trees.back());
  }
  return Trees;
}

PlayResult BenchRunner::play(const Play &Next,
                             const ExperimentPlan &Plan) const {
  fs::path Stem =
      m_Options.m_Folder /
      fmt::format("{}-{}-{}-{}", Next.m_Id.m_Variant,
                  fs::path(Next.m_Id.m_Site).stem().string(),
                  fs::path(Next.m_Id.m_Day).stem().string(), Next.m_Id.m_Seed);
  std::string Report = Stem.string() + ".json";
  fs::remove(Report);
  std::vector<std::string> Command = {
      m_Options.m_Bench, "run",
      Next.m_Id.m_Site,  Next.m_Id.m_Day,
      "--seed",          std::to_string(Next.m_Id.m_Seed),
      "--report",        Report,
      "--jobs",          "1",
      "--why",           Plan.m_Why + ": " + Next.m_Id.m_Variant};
  Command.insert(Command.end(), Plan.m_BenchOptions.begin(),
                 Plan.m_BenchOptions.end());
  (void)runIn(Next.m_Tree->path(), Command, Stem.string() + ".txt");
  PlayResult Result = readReport(readFile(Report), Next.m_Id);
  Result.m_Commit = Next.m_Tree->commit();
  return Result;
}

std::size_t BenchRunner::run(const ExperimentPlan &Plan, ResultFile &Results) {
  std::vector<WorkTree> Trees = prepare(Plan);
  std::vector<Play> Missing;
  for (std::uint64_t Seed : Plan.m_Seeds)
    for (const std::string &Site : Plan.m_Sites)
      for (const std::string &Day : Plan.m_Days)
        for (std::size_t Index = 0; Index < Trees.size(); ++Index) {
          PlayId Id{Plan.m_Variants[Index].m_Name, Site, Day, Seed};
          if (!Results.has(Id, Trees[Index].commit()))
            Missing.push_back({std::move(Id), &Trees[Index]});
        }

  std::atomic<std::size_t> Next = 0;
  std::atomic<std::size_t> Failed = 0;
  std::mutex Telling;
  std::size_t Done = 0;
  auto Work = [&] {
    for (std::size_t Index = Next++; Index < Missing.size(); Index = Next++) {
      std::string Told;
      try {
        PlayResult Result = play(Missing[Index], Plan);
        Results.put(Result);
        Told = fmt::format("worth={:.3f}", Result.m_Figures["worth"]);
      } catch (const std::exception &Error) {
        ++Failed;
        Told = Error.what();
      }
      std::lock_guard Lock(Telling);
      if (m_Options.m_OnProgress)
        m_Options.m_OnProgress(nameOf(Missing[Index].m_Id), Told, ++Done,
                               Missing.size());
    }
  };
  std::vector<std::jthread> Workers;
  for (std::size_t Job = 0; Job < m_Options.m_Jobs; ++Job)
    Workers.emplace_back(Work);
  Workers.clear();
  for (const WorkTree &Tree : Trees)
    Tree.keepJournal(m_Options.m_Repository);
  return Failed;
}

} // namespace knapweedloft::experiment
