"""Forms of the platform's services: named in URLs, registered beside one another."""

import unittest

from bambootiller._forms import Forms, plain_url
from bambootiller._parsers import Listed, Url
from bambootiller.instanceforms import LIST_FORMS, NotAList, parse_http_sd
from bambootiller.kv import ADAPTERS, Access, open_key_value
from bambootiller.kv.etcd import EtcdKeyValue
from bambootiller.settings import OPERATOR, SettingsRejected, load_settings


class TestForms(unittest.TestCase):
    def setUp(self):
        self.forms = Forms(default="one")
        self.forms.register("one")(1)
        self.forms.register("two")(2)

    def test_a_url_names_its_form_and_a_plain_one_means_the_default(self):
        self.assertEqual(self.forms.of("http://h:1"), 1)
        self.assertEqual(self.forms.of("two+https://h:1"), 2)
        self.assertEqual(plain_url("two+https://h:1"), "https://h:1")
        self.assertEqual(plain_url("http://h:1/a+b"), "http://h:1/a+b")

    def test_a_name_cannot_be_taken_twice(self):
        with self.assertRaisesRegex(ValueError, "name 'two' is taken"):
            self.forms.register("two")

    def test_a_setting_takes_registered_forms_only_and_says_which_there_are(self):
        parse = Url(self.forms)
        self.assertEqual(parse("two+http://h:1/"), "two+http://h:1")
        self.assertIn("one+ or two+", Listed(parse).allowed)
        for text in ("three+http://h:1", "two+ftp://h:1", "+http://h:1", "two+h:1"):
            with self.subTest(text), self.assertRaises(ValueError):
                parse(text)


class TestRegistered(unittest.TestCase):
    def test_the_adapter_gets_urls_without_the_name(self):
        for url in ("http://h:1", "etcd+http://h:1"):
            kv = open_key_value(Access((url,)))
            self.assertIsInstance(kv, EtcdKeyValue)
            self.assertEqual(kv._urls, ["http://h:1"])

    def test_endpoints_of_two_forms_are_refused(self):
        ADAPTERS.register("second")(None)
        self.addCleanup(ADAPTERS._forms.pop, "second")
        urls = "http://h:1,second+http://h:2"
        found = load_settings(OPERATOR, {"kv_url": urls}, {})
        self.assertIsInstance(found, SettingsRejected)
        self.assertIn("all of one form", str(found))

    def test_a_body_that_is_no_list_says_what_is_wrong(self):
        self.assertIs(LIST_FORMS.of("http://h:1"), parse_http_sd)
        for body in (b"", b"{}", b'[{"targets": 3}]'):
            self.assertIsInstance(parse_http_sd(body), NotAList)


if __name__ == "__main__":
    unittest.main()
