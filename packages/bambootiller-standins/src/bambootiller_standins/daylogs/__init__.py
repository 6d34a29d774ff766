"""Tools that read what the programs of a fleet logged in one run.

python -m bambootiller_standins.daylogs store RUN.log
python -m bambootiller_standins.daylogs quota RUN.log
"""
