import unittest

from currantwharf.fleet import is_reader
from currantwharf.fleet.readers import READERS_PER_DATA_CENTRE


class ReadersTests(unittest.TestCase):
    def test_number_of_readers_does_not_grow_with_the_fleet(self) -> None:
        for size in (3, 9, 27, 81, 243):
            names = [f"i{number}" for number in range(size)]
            readers = [name for name in names if is_reader(name, names)]
            self.assertEqual(len(readers), min(size, READERS_PER_DATA_CENTRE))
