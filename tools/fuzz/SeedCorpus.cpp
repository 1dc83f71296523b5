#include "EnvelopeCodec.h"
#include "state/RecordCodec.h"
#include "state/StateReplica.h"

#include <fstream>
#include <string>

// Writes the binary inputs of tools/fuzz/corpus: SeedCorpus FOLDER.

namespace {

using namespace knapweedloft;
namespace wire = link::wire;

void write(const std::string &Path, const std::string &Bytes) {
  std::ofstream(Path, std::ios::binary) << Bytes;
}

template <typename MessageT> std::string frame(MessageT Message) {
  wire::EnvelopeT Envelope;
  Envelope.message.Set(std::move(Message));
  return link::encodeFrame(Envelope);
}

void writeFrames(const std::string &Folder) {
  wire::HelloT Hello;
  Hello.name = "press-1";
  write(Folder + "hello", frame(std::move(Hello)));
  wire::ForwardT Forward;
  Forward.method = "POST";
  Forward.path = "/orders/7";
  Forward.headers.push_back(std::make_unique<wire::HeaderT>());
  Forward.body = {1, 2, 3};
  write(Folder + "forward", frame(std::move(Forward)));
  wire::DedupeStoreT Store;
  Store.entries.push_back(std::make_unique<wire::DedupeEntryT>());
  Store.entries[0]->answer = std::make_unique<wire::AnswerT>();
  write(Folder + "dedupe", frame(std::move(Store)));
  wire::RecordsT Records;
  Records.records.push_back(std::make_unique<wire::RecordT>());
  write(Folder + "records", frame(std::move(Records)));
  wire::SuspectsT Suspects;
  Suspects.suspects = {1, 2};
  write(Folder + "suspects",
        frame(std::move(Suspects)) + frame(wire::HeartbeatT()));
}

void writeState(const std::string &Records, const std::string &Images) {
  model::Member Who;
  Who.m_Name = "press-1";
  Who.m_Incarnation = 7;
  Who.m_Link = {"127.0.0.1", 1};
  Who.m_Region = "r";
  Who.m_DataCenter = "d";
  std::string Join =
      state::encodeRecord({.m_Written = {}, .m_Entry = state::Join{Who}});
  write(Records + "join", Join);
  state::ResourceChange Change;
  Change.m_ChangeId = "c";
  Change.m_Kind = model::ResourceKind::Customer;
  Change.m_Name = "ana";
  Change.m_Resource = model::Customer{"ana", "Ana"};
  std::string Put =
      state::encodeRecord({.m_Written = {}, .m_Entry = std::move(Change)});
  write(Records + "customer", Put);
  state::StateReplica Replica;
  Replica.applyRecord(0, Join);
  Replica.applyRecord(1, Put);
  write(Images + "small", Replica.image());
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2)
    return 2;
  std::string Folder = Arguments[1];
  writeFrames(Folder + "/Frame/");
  writeState(Folder + "/Record/", Folder + "/Image/");
  return 0;
}
