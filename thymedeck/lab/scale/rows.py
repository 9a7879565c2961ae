"""Rows of a sweep, kept as CSV: each is appended once it is measured, and only measured again on request."""

import csv
import os
from collections.abc import Callable
from pathlib import Path

Row = dict[str, object]
NOT_OCCURRED = -1.0  # value of a duration whose event did not occur


class CsvTable:
    """One CSV file. `keys` are the columns that identify a row; of rows with equal keys the last counts."""

    def __init__(self, path: Path, keys: tuple[str, ...]) -> None:
        self.path = path
        self.keys = keys
        self.rows: dict[tuple[str, ...], dict[str, str]] = {}
        if path.exists():
            with path.open(newline="") as file:
                for row in csv.DictReader(file):
                    self.rows[self.key_of(row)] = row

    def key_of(self, row: Row) -> tuple[str, ...]:
        return tuple(str(row[key]) for key in self.keys)

    def add(self, row: Row) -> None:
        """Raises ValueError if the file has other columns, which means another sweep measured its rows."""
        columns = self.columns()
        if columns and columns != list(row):
            raise ValueError(f"{self.path}: has columns {columns}, not {list(row)}")
        self.rows[self.key_of(row)] = {key: str(value) for key, value in row.items()}
        with self.path.open("a", newline="") as file:
            writer = csv.writer(file, lineterminator="\n")
            if not columns:
                writer.writerow(row)
            writer.writerow(row.values())

    def columns(self) -> list[str]:
        if not self.path.exists():
            return []
        with self.path.open(newline="") as file:
            return next(csv.reader(file), [])

    def measure_missing(
        self, row_keys: list[Row], again: bool, measure: Callable[..., Row], report: Callable
    ) -> int:
        """Measures the missing rows, or with `again` all rows; returns the number of rows measured.

        `measure` takes the key columns as keyword arguments. The column `load` is the machine's load average
        over the last minute.
        """
        measured = 0
        for row_key in row_keys:
            if not again and self.key_of(row_key) in self.rows:
                continue
            row = row_key | measure(**row_key) | {"load": f"{os.getloadavg()[0]:.1f}"}
            self.add(row)
            measured += 1
            report(f"{self.path.name}: " + ", ".join(f"{key} {value}" for key, value in row.items()))
        return measured

    def points(self, x: str, y: str, **only: object) -> list[tuple[float, float]]:
        """Values of two columns, of the rows that have both, whose event occurred and that match `only`."""
        found = []
        for row in self.rows.values():
            values = row.get(x, ""), row.get(y, "")
            is_selected = all(row.get(key) == str(value) for key, value in only.items())
            if is_selected and all(values) and float(values[1]) != NOT_OCCURRED:
                found.append((float(values[0]), float(values[1])))
        return sorted(found)
