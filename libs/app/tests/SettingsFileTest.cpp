#include "app/SettingsFile.h"

#include "SettingsFields.h"

#include "gmock/gmock.h"
#include "gtest/gtest.h"

#include <fstream>
#include <sstream>

namespace knapweedloft::app {
namespace {

using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

const std::string SourceDir = KNAPWEEDLOFT_SOURCE_DIR;

constexpr std::string_view Least = "[daemon]\nname = 'a'\nregion = 'r'\n"
                                   "data_center = 'd'\n"
                                   "[log]\naddress = '127.0.0.1'\nport = 1\n";

Settings read(std::string_view Text) {
  std::istringstream Input{std::string(Text)};
  return readSettings(Input, "x.toml");
}

/// \returns what loading says, empty if it succeeds.
template <typename LoadT> std::string errorOf(LoadT Load) {
  try {
    Load();
    return "";
  } catch (const SettingsError &Error) {
    return Error.what();
  }
}

TEST(SettingsFileTest, Read_RequiredKeysOnly_HasDefaults) {
  Settings Values = read(Least);
  EXPECT_EQ(Values.m_Daemon.m_DataCenter, "d");
  EXPECT_EQ(Values.m_Caller.m_MaxBodyBytes, 1U << 20);
  EXPECT_EQ(Values.m_Target.m_Service, "");
  EXPECT_EQ(Values.m_LogOutput.m_Level, LogLevel::Info);
}

TEST(SettingsFileTest, Load_Example_IsComplete) {
  Settings Values = loadSettings(SourceDir + "/docs/operators/example.toml");
  EXPECT_EQ(Values.m_Target.m_Service, "orders");
  EXPECT_EQ(Values.m_Freshness.m_IsolatedAfter, absl::Seconds(5));
}

TEST(SettingsFileTest, Format_ReadBack_IsSame) {
  std::string Text =
      formatSettings(loadSettings(SourceDir + "/docs/operators/example.toml"));
  EXPECT_EQ(formatSettings(read(Text)), Text);
}

TEST(SettingsFileTest, Format_WithToken_KeepsItSecret) {
  Settings Values = read(std::string(Least) + "[api]\ntoken = 'hush-hush'\n");
  EXPECT_EQ(Values.m_Api.m_Token, "hush-hush");
  EXPECT_THAT(formatSettings(Values), Not(HasSubstr("hush")));
}

TEST(SettingsFileTest, Read_ApiOffLoopbackWithoutToken_IsRefused) {
  auto ApiWith = [](const std::string &Keys) {
    return errorOf([&] { (void)read(std::string(Least) + "[api]\n" + Keys); });
  };
  EXPECT_THAT(ApiWith("address = '10.0.0.5'\n"), HasSubstr("api.token"));
  EXPECT_THAT(ApiWith("address = '::'\n"), HasSubstr("api.token"));
  EXPECT_EQ(ApiWith("address = '10.0.0.5'\ntoken = 'long-enough'\n"), "");
  EXPECT_EQ(ApiWith("address = '127.0.0.2'\n"), "");
  EXPECT_EQ(ApiWith("address = '::1'\n"), "");
}

TEST(SettingsFileTest, Read_Contacts_TakesIpNumbersWithPortsOnly) {
  auto Contacts = [](const std::string &List) {
    return read(std::string(Least) + "[link]\ncontacts = " + List + "\n")
        .m_Link.m_Contacts;
  };
  const std::vector<model::Endpoint> Expected = {{"10.0.0.5", 8082},
                                                 {"::1", 9}};
  EXPECT_EQ(Contacts("['10.0.0.5:8082', '[::1]:9']"), Expected);
  for (const char *List : {"'10.0.0.5:1'", "['host:1']", "['10.0.0.5']",
                           "['10.0.0.5:0']", "['10.0.0.5:99999']", "[7]"})
    EXPECT_THAT(errorOf([&] { (void)Contacts(List); }),
                HasSubstr("link.contacts"))
        << List;
}

TEST(SettingsFileTest, Read_Objectives_AreTaken) {
  const Settings Values =
      read(std::string(Least) + "[objectives]\nsuccess_share = 0.95\n"
                                "latency_ms = 250\nlatency_share = 0.9\n");
  EXPECT_EQ(Values.m_Objectives.m_SuccessShare, 0.95);
  EXPECT_EQ(Values.m_Objectives.m_Latency, absl::Milliseconds(250));
  EXPECT_EQ(Values.m_Objectives.m_LatencyShare, 0.9);
}

/// Collects the names of all keys.
struct KeyLister {
  void table(std::string_view Name, bool = false) { m_Table = Name; }
  template <typename... ArgT> void add(std::string_view Key, const ArgT &...) {
    m_Keys.push_back(m_Table + "." + std::string(Key));
  }
  void name(std::string_view Key, const std::string &, Presence) { add(Key); }
  void secret(std::string_view Key, const std::string &) { add(Key); }
  void address(std::string_view Key, const std::string &, Presence) {
    add(Key);
  }
  void port(std::string_view Key, std::uint16_t, std::int64_t, Presence) {
    add(Key);
  }
  void count(std::string_view Key, std::uint32_t, std::int64_t, std::int64_t) {
    add(Key);
  }
  void duration(std::string_view Key, absl::Duration, absl::Duration,
                absl::Duration) {
    add(Key);
  }
  void share(std::string_view Key, double) { add(Key); }
  void endpoints(std::string_view Key, const std::vector<model::Endpoint> &) {
    add(Key);
  }
  void level(std::string_view Key, LogLevel) { add(Key); }

  std::string m_Table;
  std::vector<std::string> m_Keys;
};

TEST(SettingsFileTest, OperatorsPages_EveryKey_IsShown) {
  std::ifstream Page(SourceDir + "/docs/operators/settings.md");
  std::ifstream Example(SourceDir + "/docs/operators/example.toml");
  std::string PageText(std::istreambuf_iterator<char>(Page), {});
  std::string ExampleText(std::istreambuf_iterator<char>(Example), {});
  KeyLister Lister;
  const Settings Defaults;
  visitSettings(Defaults, Lister);
  for (const std::string &Key : Lister.m_Keys) {
    EXPECT_THAT(PageText, HasSubstr("| `" + Key + "` |"));
    EXPECT_THAT(ExampleText, HasSubstr(Key.substr(Key.find('.') + 1) + " = "));
  }
}

TEST(SettingsFileTest, Load_MissingFile_NamesIt) {
  std::string Error = errorOf([] { return loadSettings("/no/such.toml"); });
  EXPECT_THAT(Error, StartsWith("/no/such.toml: cannot be read (No such file"));
}

TEST(SettingsFileTest, Load_Folder_IsRefused) {
  EXPECT_THAT(errorOf([] { return loadSettings("/"); }),
              StartsWith("/: cannot be read (Is a directory"));
}

/// Text after the required keys and what must be said of it.
struct BadCase {
  std::string_view m_Name;
  std::string_view m_Text;
  std::string_view m_Key;
  std::string_view m_Said;
};

std::ostream &operator<<(std::ostream &Out, const BadCase &Case) {
  return Out << Case.m_Name;
}

class SettingsFileBadTest : public testing::TestWithParam<BadCase> {};

TEST_P(SettingsFileBadTest, Read_Bad_SaysFileKeyAndAllowedInOneLine) {
  std::string Text = std::string(Least) + std::string(GetParam().m_Text);
  std::string Error = errorOf([&] { return read(Text); });
  EXPECT_THAT(Error, StartsWith("x.toml: " + std::string(GetParam().m_Key)));
  EXPECT_THAT(Error, HasSubstr(std::string(GetParam().m_Said)));
  EXPECT_THAT(Error, HasSubstr("; allowed: "));
  EXPECT_THAT(Error, Not(HasSubstr("\n")));
}

INSTANTIATE_TEST_SUITE_P(
    Cases, SettingsFileBadTest,
    testing::Values(
        BadCase{"UnknownTable", "[caler]\n", "caler:", "unknown table"},
        BadCase{"UnknownKey", "[caller]\nports = 1\n",
                "caller.ports:", "allowed: address, port, threads"},
        BadCase{"TableIsValue", "[limits]\n[link]\n[caller]\nport = {}\n",
                "caller.port:", "not an integer"},
        BadCase{"WrongType", "[caller]\nport = '80'\n",
                "caller.port:", "an integer from 0 to 65535"},
        BadCase{"Float", "[caller]\nthreads = 2.0\n",
                "caller.threads:", "not an integer"},
        BadCase{"PortTooHigh", "[caller]\nport = 65536\n",
                "caller.port:", "65536 is out of range"},
        BadCase{"Negative", "[limits]\nmax_attempts = -1\n",
                "limits.max_attempts:", "from 1 to 100"},
        BadCase{"ShortTime", "[link]\nheartbeat_interval_ms = 1\n",
                "link.heartbeat_interval_ms:", "from 10 to 60000 milliseconds"},
        BadCase{"HostName", "[caller]\naddress = 'localhost'\n",
                "caller.address:", "an IPv4 or IPv6 number"},
        BadCase{"TargetWithoutService", "[target]\nport = 1\n",
                "target.service:", "missing"},
        BadCase{"BlankInName", "[target]\nservice = 'a b'\n",
                "target.service:", "not a name"},
        BadCase{"CapitalInName", "[target]\nservice = 'A'\n",
                "target.service:", "of a-z, 0-9"},
        BadCase{"ShortToken", "[api]\ntoken = 'abc'\n",
                "api.token:", "8 to 256 printable characters"},
        BadCase{"Level", "[log_output]\nlevel = 'loud'\n",
                "log_output.level:", "error, warning, info, debug"},
        BadCase{"SilentTooSoon", "[link]\nsilent_after_ms = 600\n",
                "link.silent_after_ms:", "twice"},
        BadCase{"DefaultPastMost", "[limits]\nmax_timeout_ms = 10\n",
                "limits.default_timeout_ms:", "at most"},
        BadCase{"BodyPastFrame", "[link]\nmax_frame_bytes = 65536\n",
                "caller.max_body_bytes:", "half"},
        BadCase{"ShareOfAll", "[objectives]\nsuccess_share = 1.0\n",
                "objectives.success_share:", "1 is out of range"},
        BadCase{"ShareOfNothing", "[objectives]\nlatency_share = 0.0\n",
                "objectives.latency_share:", "above 0 and below 1"},
        BadCase{"ShareIsNan", "[objectives]\nlatency_share = nan\n",
                "objectives.latency_share:", "out of range"},
        BadCase{"ShareInPercent", "[objectives]\nsuccess_share = 99\n",
                "objectives.success_share:", "not a fraction"},
        BadCase{"NoLatency", "[objectives]\nlatency_ms = 0\n",
                "objectives.latency_ms:", "from 1 to 3600000 milliseconds"},
        BadCase{"NotToml", "[caller\n", "line 8:", "TOML"}),
    [](const auto &Info) { return std::string(Info.param.m_Name); });

TEST(SettingsFileTest, Read_RequiredKeyMissing_NamesIt) {
  EXPECT_EQ(errorOf([] { return read("[daemon]\nregion = 'r'\n"); }),
            "x.toml: daemon.name: missing; allowed: 1 to 64 of a-z, 0-9 and "
            "'-'");
}

TEST(SettingsFileTest, Read_TableIsNumber_IsRefused) {
  std::string Text = "caller = 1\n" + std::string(Least);
  EXPECT_EQ(errorOf([&] { return read(Text); }),
            "x.toml: caller: not a table; allowed: a table [caller]");
}

} // namespace
} // namespace knapweedloft::app
