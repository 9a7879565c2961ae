"""Rows of a sweep, kept as CSV: each is written once it is measured, and not measured again unless asked."""

import csv
import os
from collections.abc import Callable
from pathlib import Path

Row = dict[str, object]
NEVER = -1.0  # where a figure says how long something took


class Sheet:
    """One CSV file. `keys` are the columns that name a row; the newest row of a name counts."""

    def __init__(self, path: Path, keys: tuple[str, ...]) -> None:
        self.path = path
        self.keys = keys
        self.rows: dict[tuple[str, ...], dict[str, str]] = {}
        if path.exists():
            with path.open(newline="") as file:
                for row in csv.DictReader(file):
                    self.rows[self.name_of(row)] = row

    def name_of(self, row: Row) -> tuple[str, ...]:
        return tuple(str(row[key]) for key in self.keys)

    def add(self, row: Row) -> None:
        """Raises ValueError where the file has other columns: its rows were measured by another sweep."""
        columns = self.columns()
        if columns and columns != list(row):
            raise ValueError(f"{self.path}: has columns {columns}, not {list(row)}")
        self.rows[self.name_of(row)] = {key: str(value) for key, value in row.items()}
        with self.path.open("a", newline="") as file:
            out = csv.writer(file, lineterminator="\n")
            if not columns:
                out.writerow(row)
            out.writerow(row.values())

    def columns(self) -> list[str]:
        if not self.path.exists():
            return []
        with self.path.open(newline="") as file:
            return next(csv.reader(file), [])

    def sweep(self, names: list[Row], again: bool, measure: Callable[..., Row], say: Callable) -> int:
        """Measures the rows that are missing, one after the other; returns how many it measured."""
        done = 0
        for name in names:
            if not again and self.name_of(name) in self.rows:
                continue
            row = name | measure(**name) | {"load": f"{os.getloadavg()[0]:.1f}"}
            self.add(row)
            done += 1
            say(f"{self.path.name}: " + ", ".join(f"{key} {value}" for key, value in row.items()))
        return done

    def figures(self, x: str, y: str, **only: object) -> list[tuple[float, float]]:
        """Of the rows in which both were measured, y came about, and all of `only` hold."""
        found = []
        for row in self.rows.values():
            given = row.get(x, ""), row.get(y, "")
            meant = all(row.get(key) == str(value) for key, value in only.items())
            if meant and all(given) and float(given[1]) != NEVER:
                found.append((float(given[0]), float(given[1])))
        return sorted(found)
